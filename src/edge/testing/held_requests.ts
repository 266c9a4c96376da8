/**
 * A caller server whose requests end when a test says so.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import {
  ManualClock,
  MemoryMetrics,
  SilentLog,
  SystemClock,
} from "../../core/mod.ts";
import { ByteBudget, ResponseSizes } from "../../decisions/memory/mod.ts";
import { CallerServer, type CallerServerOptions } from "../caller_server.ts";
import { Entrance } from "../entrance.ts";
import { EventLoopLag } from "../event_loop_lag.ts";
import type { FlowResult } from "../flow_result.ts";
import type { CallerRequest } from "../request_context.ts";
import { PlainCodec } from "./plain_codec.ts";
import { responded } from "./scripted_sender.ts";

/** Memory of a server unless a test sets less. */
const MEMORY_BYTES = 100_000_000;
const OK_BODY = Buffer.from("ok");
/** How long an instance gets to act, in milliseconds. */
const SETTLE_MS = 50;
/** How often a condition is checked, in milliseconds. */
const POLL_MS = 10;

/** A response with this body. */
export function responseOf(bytes: Buffer): FlowResult {
  const result = responded();
  if (result.kind !== "answer") throw new Error("not an answer");
  return { ...result, body: { bytes, remainder: undefined } };
}

/** The requests that a server forwarded. */
export class HeldRequests {
  /** Paths in the order in which they were forwarded. */
  readonly forwarded: string[] = [];
  /** Paths of those that were cancelled. */
  readonly cancelled: string[] = [];
  readonly #open = new Map<string, (result: FlowResult) => void>();

  handle(req: CallerRequest): Promise<FlowResult> {
    const { path } = req.fields;
    this.forwarded.push(path);
    req.signal.addEventListener("abort", () => {
      this.cancelled.push(path);
      this.#open.get(path)?.({ kind: "gone" });
    });
    return new Promise((resolve) => this.#open.set(path, resolve));
  }

  /** Ends a request with a response. */
  answer(path: string, result: FlowResult = responseOf(OK_BODY)): void {
    this.#open.get(path)?.(result);
    this.#open.delete(path);
  }

  /** Ends all requests that were forwarded. */
  answerAll(): void {
    for (const path of [...this.#open.keys()]) this.answer(path);
  }
}

/** Starts a server whose requests are held. */
export function listenHolding(
  held: HeldRequests,
  opts: Partial<CallerServerOptions> = {},
): Promise<CallerServer> {
  const common = {
    clock: new SystemClock(),
    log: new SilentLog(),
    metrics: new MemoryMetrics(),
  };
  return CallerServer.listen({
    ...common,
    address: "127.0.0.1:0",
    cores: 1,
    codec: new PlainCodec(),
    entrance: new Entrance(common),
    loopLag: new EventLoopLag({ ...common, clock: new ManualClock() }),
    fromPeers: false,
    memory: new ByteBudget(MEMORY_BYTES),
    responseSizes: new ResponseSizes(),
    classOf: () => ({ route: "r1", rank: 0 }),
    handle: (req) => held.handle(req),
    ...opts,
  });
}

/** Waits until sockets have been read and written. */
export function settle(ms = SETTLE_MS): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Waits until a condition holds; rejects after a time, five seconds unless set. */
export async function until(
  condition: () => boolean,
  limitMs = 5_000,
): Promise<void> {
  for (let i = 0; i < limitMs / POLL_MS; i++) {
    if (condition()) return;
    await settle(POLL_MS);
  }
  throw new Error("the condition did not come true");
}
