/**
 * Per-endpoint state of the slot budgets.
 *
 * @module
 */
import type { EndpointId } from "../../core/mod.ts";
import type { Service } from "../../document/mod.ts";
import { LoanBook } from "./loan_book.ts";

/** Slots of one endpoint in this instance's zone. */
export interface SlotRow {
  readonly endpoint: EndpointId;
  readonly book: LoanBook;
  slots: number;
  wanted: number;
  /** Recent peak of requests in flight; slots up to it are not lent or returned. */
  peak: number;
  own: number;
  ownUntil: number;
}

/** Creates a row; `holdMs` is how long requests under an expired loan may run. */
export function newSlotRow(
  endpoint: EndpointId,
  slots: number,
  holdMs: number,
): SlotRow {
  return {
    endpoint,
    slots,
    book: new LoanBook(holdMs),
    wanted: 0,
    peak: 0,
    own: 0,
    ownUntil: 0,
  };
}

/** The longest deadline of the service's requests, in milliseconds. */
export function maxRequestMs(service: Service): number {
  const routes = service.routes.map((r) => r.deadline_ms ?? 0);
  return Math.max(service.deadline_ms, ...routes);
}
