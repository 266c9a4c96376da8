/**
 * Reads the bodies of callers' requests.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { CancelSignal, Clock } from "../core/mod.ts";
import type { Reservation } from "../decisions/memory/mod.ts";
import { BodyBlocks } from "./body_blocks.ts";
import { headerOf } from "./header_fields.ts";

/** How the length of a body is given. */
export type BodyLength =
  | { readonly kind: "none" }
  | { readonly kind: "declared"; readonly bytes: number }
  /** In chunks; the length shows at the end. */
  | { readonly kind: "open" };

/** Why there is no complete body. */
export type BodyFailure =
  /** The caller has left, or the request was dropped. */
  | "gone"
  | "too_large"
  /** It did not arrive in time. */
  | "late"
  /** A body without a declared length outgrew the budget. */
  | "no_memory";

/** How a body is read. */
export interface BodyOptions {
  readonly maxBytes: number;
  /** Has the declared length; grows with a body that has none. */
  readonly memory: Reservation;
  readonly rank: number;
  /** Time in which the body must arrive, in milliseconds. */
  readonly timeoutMs: number;
  readonly clock: Clock;
  readonly signal: CancelSignal;
}

/**
 * How much longer a body is discarded whose request was refused, in
 * milliseconds. The refusal is read by then; closing at once would reset the
 * connection, and the caller would not see it.
 */
const DISCARD_MS = 5_000;

/** How the length of a request's body is given in its header. */
export function bodyLengthOf(
  { rawHeaders }: Pick<IncomingMessage, "rawHeaders">,
): BodyLength {
  if (headerOf(rawHeaders, "transfer-encoding") !== undefined) {
    return { kind: "open" };
  }
  const declared = headerOf(rawHeaders, "content-length");
  if (declared === undefined) return { kind: "none" };
  return { kind: "declared", bytes: Number(declared) };
}

/** Reads a body to its end; nothing is kept of one that fails. */
export function readBody(
  req: IncomingMessage,
  length: Exclude<BodyLength, { kind: "none" }>,
  opts: BodyOptions,
): Promise<readonly Buffer[] | BodyFailure> {
  const { maxBytes, memory, rank, timeoutMs, clock, signal } = opts;
  return new Promise((resolve) => {
    const body = new BodyBlocks({
      reserve: (bytes) => memory.tryAdd(bytes, rank),
      reservedBytes: length.kind === "declared" ? length.bytes : 0,
    });
    const end = (result: readonly Buffer[] | BodyFailure) => {
      timer.close();
      // These listeners keep the body in memory, and a refused request lasts
      // until the rest of it is discarded.
      req.off("data", onData);
      req.off("end", onEnd);
      req.off("close", onGone);
      signal.removeEventListener("abort", onGone);
      resolve(result);
    };
    const onData = (chunk: Buffer) => {
      if (!body.add(chunk)) end("no_memory");
      else if (body.size > maxBytes) end("too_large");
    };
    const onEnd = () => end(body.end());
    const onGone = () => end("gone");
    const timer = clock.after(timeoutMs, () => end("late"));
    signal.addEventListener("abort", onGone);
    req.on("data", onData);
    req.once("end", onEnd);
    req.once("close", onGone);
  });
}

/** Reads and discards a body; the connection is closed if it is too long. */
export function discardBody(req: IncomingMessage, clock: Clock): void {
  if (req.complete) return void req.resume();
  const timer = clock.after(DISCARD_MS, () => req.socket.destroy());
  const end = () => timer.close();
  req.once("end", end);
  req.once("close", end);
  req.resume();
}
