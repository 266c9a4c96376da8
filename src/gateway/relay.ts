/**
 * Streams an endpoint's response to the requester.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Transform } from "node:stream";
import { pipeline } from "node:stream/promises";
import type { Clock } from "../core/mod.ts";
import type { Slot, WorkResult } from "../decisions/steering/mod.ts";
import type { EndpointAnswer } from "../endpoints/mod.ts";
import { callerHeaders } from "./headers.ts";

/** Where a response is written. */
export interface RelayTarget {
  readonly res: ServerResponse;
  readonly signal: AbortSignal;
  readonly clock: Clock;
  /** Limits the body to the bandwidth of a link. */
  readonly pace?: Transform | undefined;
}

/** Streams a response and releases the slot at its end. */
export async function relay(
  answer: EndpointAnswer,
  slot: Slot,
  { res, signal, clock, pace }: RelayTarget,
): Promise<void> {
  res.writeHead(answer.status, { ...callerHeaders(answer.headers) });
  let result: WorkResult = "ok";
  try {
    if (pace) await pipeline(answer.body, pace, res);
    else await pipeline(answer.body, res);
  } catch {
    result = signal.aborted || res.closed ? "cancelled" : "failed";
    res.destroy();
  } finally {
    slot.release(result, clock.now());
  }
}
