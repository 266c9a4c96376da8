/**
 * Brings an endpoint's answer to whoever asked.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Transform } from "node:stream";
import { pipeline } from "node:stream/promises";
import type { Clock } from "../core/mod.ts";
import type { Slot, WorkResult } from "../decisions/steering/mod.ts";
import type { EndpointAnswer } from "../endpoints/mod.ts";
import { toCaller } from "./headers.ts";

/** Where an answer goes. */
export interface RelayTarget {
  readonly res: ServerResponse;
  readonly signal: AbortSignal;
  readonly clock: Clock;
  /** Paces the body over a link. */
  readonly pace?: Transform | undefined;
}

/** Streams an answer and gives the slot back when it has ended. */
export async function relay(
  answer: EndpointAnswer,
  slot: Slot,
  { res, signal, clock, pace }: RelayTarget,
): Promise<void> {
  res.writeHead(answer.status, { ...toCaller(answer.headers) });
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
