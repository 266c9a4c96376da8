/**
 * One endpoint's row in the table of slots.
 *
 * @module
 */
import type { EndpointId } from "../../core/mod.ts";
import type { Service } from "../../document/mod.ts";
import { LoanBook } from "./loan_book.ts";

/** One endpoint of the own zone. */
export interface SlotRow {
  readonly endpoint: EndpointId;
  readonly book: LoanBook;
  slots: number;
  wanted: number;
  /** The most in flight of late; slots below it are not lent or given back. */
  peak: number;
  own: number;
  ownUntil: number;
}

/** Makes a row; loans are remembered while requests under them may run. */
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

/** The longest that a request to the service may run, in milliseconds. */
export function longestMs(service: Service): number {
  const routes = service.routes.map((r) => r.deadline_ms ?? 0);
  return Math.max(service.deadline_ms, ...routes);
}
