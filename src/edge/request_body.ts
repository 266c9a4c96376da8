/**
 * Reads the bodies of callers' requests.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { CancelSignal, Clock } from "../core/mod.ts";
import type { Reservation } from "../decisions/memory/mod.ts";
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
): Promise<Buffer | BodyFailure> {
  return new Promise((resolve) => {
    const body = length.kind === "declared"
      ? new DeclaredBody(length.bytes)
      : new OpenBody(opts);
    const end = (result: Buffer | BodyFailure) => {
      timer.close();
      // These listeners keep the body in memory, and a refused request lasts
      // until the rest of it is discarded.
      req.off("data", onData);
      req.off("end", onEnd);
      req.off("close", onGone);
      opts.signal.removeEventListener("abort", onGone);
      resolve(result);
    };
    const onData = (chunk: Buffer) => {
      const failure = body.add(chunk);
      if (failure !== undefined) end(failure);
    };
    const onEnd = () => end(body.join());
    const onGone = () => end("gone");
    const timer = opts.clock.after(opts.timeoutMs, () => end("late"));
    opts.signal.addEventListener("abort", onGone);
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

/** A body with a declared length: one buffer, filled as it arrives. */
class DeclaredBody {
  readonly #buffer: Buffer;
  #size = 0;

  constructor(bytes: number) {
    this.#buffer = Buffer.allocUnsafeSlow(bytes);
  }

  add(chunk: Buffer): undefined {
    this.#size += chunk.copy(this.#buffer, this.#size);
  }

  join(): Buffer {
    return this.#buffer;
  }
}

/** A body whose length shows at its end. */
class OpenBody {
  readonly #opts: BodyOptions;
  readonly #chunks: Buffer[] = [];
  #size = 0;

  constructor(opts: BodyOptions) {
    this.#opts = opts;
  }

  add(chunk: Buffer): BodyFailure | undefined {
    const { maxBytes, memory, rank } = this.#opts;
    this.#size += chunk.length;
    if (this.#size > maxBytes) return "too_large";
    // Joining the chunks needs their memory twice for a moment.
    if (!memory.tryAdd(2 * chunk.length, rank)) return "no_memory";
    this.#chunks.push(chunk);
    return undefined;
  }

  join(): Buffer {
    const { memory, clock } = this.#opts;
    memory.subtract(this.#size, clock.now());
    return Buffer.concat(this.#chunks);
  }
}
