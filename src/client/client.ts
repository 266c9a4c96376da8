/**
 * The caller library: looks up, sends, and says truthfully what became of a
 * request.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { Agent, request } from "undici";
import { z } from "zod";
import {
  type Clock,
  fail,
  type Failure,
  type FailureCode,
  type Random,
  SystemClock,
  SystemRandom,
} from "../core/mod.ts";

/** Settings of a caller. */
export interface ClientOptions {
  /** Entry instances to ask first, before any look-up is known. */
  readonly seeds: readonly string[];
  /** The client account's key. */
  readonly key: string;
  readonly clock?: Clock;
  readonly random?: Random;
}

/** One request of a caller. */
export interface CallerRequest {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly body?: string | Uint8Array;
  readonly headers?: Readonly<Record<string, string>>;
  /** How long the caller is willing to wait, in milliseconds. */
  readonly timeoutMs: number;
  /** Whether running it twice does no harm. */
  readonly idempotent: boolean;
  /** Given to repeat an earlier attempt; made anew otherwise. */
  readonly operationId?: string;
}

/** A whole answer. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Uint8Array;
}

const Choices = z.object({
  reuse_ms: z.number().nonnegative(),
  instances: z.array(
    z.object({ url: z.string(), home: z.string().optional() }),
  ),
});
type Choices = z.infer<typeof Choices>;

const Refusal = z.object({
  code: z.string(),
  message: z.string(),
  outcome: z.enum(["not-run", "unknown"]).optional(),
  retry_after_ms: z.number().optional(),
});

const OPERATION_ID_BYTES = 16;
const MAX_TRIES = 3;
const FIRST_BACKOFF_MS = 50;
const LOOKUP_TIMEOUT_MS = 1_000;

/**
 * A caller of services.
 *
 * @example
 * ```ts
 * const client = new Client({ seeds: ["http://127.0.0.1:8080"], key });
 * const answer = await client.send({
 *   service: "catalog", method: "GET", path: "/lots", timeoutMs: 500, idempotent: true,
 * });
 * ```
 */
export class Client {
  readonly #opts: ClientOptions;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #agent = new Agent({ connections: 64, pipelining: 1 });
  #choices: Choices | undefined;
  #choicesUntil = -Infinity;

  constructor(opts: ClientOptions) {
    this.#opts = opts;
    this.#clock = opts.clock ?? new SystemClock();
    this.#random = opts.random ?? new SystemRandom();
  }

  /**
   * Sends a request and gives the whole answer, whatever its status.
   *
   * Failures carry `outcome`: `not-run` if it surely did not run, `unknown`
   * if it may have. Only what is idempotent or surely did not run is retried.
   */
  async send(req: CallerRequest): Promise<Result<CallerAnswer, Failure>> {
    const deadline = this.#clock.now() + req.timeoutMs;
    const operationId = req.operationId ?? this.#random.hex(OPERATION_ID_BYTES);
    let last: Result<CallerAnswer, Failure> = fail(
      "no_capacity",
      "no instance",
      {
        outcome: "not-run",
      },
    );
    for (let i = 0; i < MAX_TRIES; i++) {
      const left = deadline - this.#clock.now();
      if (left <= 0) return last;
      const base = await this.#instance(i);
      last = await this.#try(base, { ...req, operationId, timeoutMs: left });
      if (last.isOk() || !mayRetry(req, last.error)) return last;
      const waitMs = this.#backoff(i, last.error);
      if (this.#clock.now() + waitMs >= deadline) return last;
      await new Promise<void>((resolve) => this.#clock.after(waitMs, resolve));
    }
    return last;
  }

  /** Ends kept connections. */
  async close(): Promise<void> {
    await this.#agent.close();
  }

  async #instance(attempt: number): Promise<string> {
    const choices = await this.#lookup();
    const urls = choices?.instances.map((c) => c.url) ?? [];
    const usable = urls.length > 0 ? urls : this.#opts.seeds;
    return usable[attempt % usable.length] ?? "";
  }

  async #lookup(): Promise<Choices | undefined> {
    if (this.#clock.now() < this.#choicesUntil) return this.#choices;
    const known = this.#choices?.instances.map((c) => c.url) ?? [];
    for (const url of [...known, ...this.#opts.seeds]) {
      const choices = await this.#ask(url);
      if (choices === undefined) continue;
      this.#choices = choices;
      this.#choicesUntil = this.#clock.now() + choices.reuse_ms;
      return choices;
    }
    return this.#choices;
  }

  async #ask(url: string): Promise<Choices | undefined> {
    try {
      const res = await request(`${url}/v1/lookup`, {
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(LOOKUP_TIMEOUT_MS),
      });
      return Choices.parse(await res.body.json());
    } catch {
      return undefined;
    }
  }

  async #try(
    base: string,
    req: CallerRequest & { operationId: string },
  ): Promise<Result<CallerAnswer, Failure>> {
    try {
      const res = await request(`${base}/services/${req.service}${req.path}`, {
        method: req.method,
        headers: {
          ...req.headers,
          authorization: `Bearer ${this.#opts.key}`,
          "x-timeout-ms": String(Math.ceil(req.timeoutMs)),
          ...(req.idempotent ? {} : { "idempotency-key": req.operationId }),
        },
        body: req.body ?? null,
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(Math.ceil(req.timeoutMs) + 100),
      });
      const body = new Uint8Array(await res.body.arrayBuffer());
      const refusal = readRefusal(res.headers["x-magnoliahook-outcome"], body);
      if (refusal) return err(refusal);
      return ok({ status: res.statusCode, headers: res.headers, body });
    } catch (cause) {
      return unreachable(cause);
    }
  }

  #backoff(attempt: number, failure: Failure): number {
    const base = failure.retryAfterMs ?? FIRST_BACKOFF_MS * 2 ** attempt;
    return base * (0.5 + this.#random.next());
  }
}

function mayRetry(req: CallerRequest, failure: Failure): boolean {
  if (failure.code === "rate_exceeded") return false;
  return req.idempotent || failure.outcome === "not-run";
}

function readRefusal(
  outcome: string | string[] | undefined,
  body: Uint8Array,
): Failure | undefined {
  if (outcome === undefined) return undefined;
  const parsed = Refusal.parse(JSON.parse(new TextDecoder().decode(body)));
  return {
    code: parsed.code as FailureCode,
    message: parsed.message,
    path: [],
    ...(parsed.outcome ? { outcome: parsed.outcome } : {}),
    ...(parsed.retry_after_ms ? { retryAfterMs: parsed.retry_after_ms } : {}),
  };
}

function unreachable(cause: unknown): Result<never, Failure> {
  const refused =
    String((cause as { code?: unknown })?.code) === "ECONNREFUSED";
  return fail("peer_unavailable", `the instance failed: ${String(cause)}`, {
    outcome: refused ? "not-run" : "unknown",
  });
}
