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
  type Random,
  sleep,
  SystemClock,
  SystemRandom,
} from "../core/mod.ts";
import { type HomeBinding, HomeBindings, homeHeader } from "./home_bindings.ts";
import { mayRetry, outcomeOf, readRefusal, unreachable } from "./outcomes.ts";

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
  /** The home of an attempt that another process made, from `homeOf` there. */
  readonly home?: string;
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

const OPERATION_ID_BYTES = 16;
const MAX_TRIES = 4;
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
  readonly #bindings: HomeBindings;
  #choices: Choices | undefined;
  #choicesUntil = -Infinity;
  #asking: Promise<Choices | undefined> | undefined;

  constructor(opts: ClientOptions) {
    this.#opts = opts;
    this.#clock = opts.clock ?? new SystemClock();
    this.#random = opts.random ?? new SystemRandom();
    this.#bindings = new HomeBindings(this.#clock);
  }

  /**
   * Sends a request and gives the whole answer, whatever its status.
   *
   * Failures carry `outcome`: `not-run` if it surely did not run, `unknown`
   * if it may have. What is not idempotent is repeated under one operation id
   * and home, so that a repetition brings the answer and never a second run.
   */
  async send(req: CallerRequest): Promise<Result<CallerAnswer, Failure>> {
    const deadline = this.#clock.now() + req.timeoutMs;
    const operationId = req.operationId ?? this.#random.hex(OPERATION_ID_BYTES);
    let binding = await this.#bindingFor(req);
    let last: Result<CallerAnswer, Failure> = fail(
      "no_capacity",
      "no instance",
      { outcome: binding.uncertain ? "unknown" : "not-run" },
    );
    for (let i = 0; i < MAX_TRIES; i++) {
      const timeoutMs = deadline - this.#clock.now();
      if (timeoutMs <= 0) break;
      const base = await this.#instance(i);
      last = await this.#try(base, { ...req, operationId, timeoutMs, binding });
      if (last.isOk()) {
        binding = { ...binding, uncertain: true };
        break;
      }
      const outcome = outcomeOf(last.error, binding);
      last = err({ ...last.error, outcome });
      const again = mayRetry(last.error, binding);
      if (outcome === "unknown") binding = { ...binding, uncertain: true };
      const waitMs = this.#backoff(i, last.error);
      if (!again || this.#clock.now() + waitMs >= deadline) break;
      await sleep(this.#clock, waitMs);
      if (outcome === "not-run") binding = await this.#rebind(binding, i + 1);
    }
    if (req.operationId) this.#bindings.keep(req.operationId, binding);
    return last;
  }

  /**
   * The home of an operation id that this process sent; to be kept beside the
   * id by an application that may repeat it from another process.
   */
  homeOf(operationId: string): string | undefined {
    const binding = this.#bindings.find(operationId);
    return binding && homeHeader(binding);
  }

  /** Ends kept connections. */
  async close(): Promise<void> {
    await this.#agent.close();
  }

  async #bindingFor(req: CallerRequest): Promise<HomeBinding> {
    const kept = req.operationId && this.#bindings.find(req.operationId);
    if (kept) return kept;
    if (req.home) return { home: req.home, round: 0, uncertain: true };
    const choices = req.idempotent ? undefined : await this.#lookup();
    const home = choices?.instances[0]?.home;
    return { home, round: 0, uncertain: false };
  }

  /**
   * A new home, after a true `not-run` alone, from a new look-up: the homes
   * known so far may share what refused the request, as when the instance
   * that keeps their second records has died.
   */
  async #rebind(binding: HomeBinding, next: number): Promise<HomeBinding> {
    this.#choicesUntil = -Infinity;
    const homes = (await this.#lookup())?.instances ?? [];
    const home = homes[next % Math.max(1, homes.length)]?.home;
    return { home, round: binding.round + 1, uncertain: false };
  }

  async #instance(attempt: number): Promise<string> {
    const choices = await this.#lookup();
    const urls = choices?.instances.map((c) => c.url) ?? [];
    const usable = urls.length > 0 ? urls : this.#opts.seeds;
    return usable[attempt % usable.length] ?? "";
  }

  /**
   * Requests that need a look-up at the same time share one. Were each to send
   * its own, every expiry would bring as many look-ups as requests under way,
   * most of all when instances are slow already.
   */
  async #lookup(): Promise<Choices | undefined> {
    if (this.#clock.now() < this.#choicesUntil) return this.#choices;
    this.#asking ??= this.#askAround().finally(() => {
      this.#asking = undefined;
    });
    return await this.#asking;
  }

  async #askAround(): Promise<Choices | undefined> {
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
    req: CallerRequest & { operationId: string; binding: HomeBinding },
  ): Promise<Result<CallerAnswer, Failure>> {
    try {
      const res = await request(`${base}/services/${req.service}${req.path}`, {
        method: req.method,
        headers: {
          ...req.headers,
          authorization: `Bearer ${this.#opts.key}`,
          "x-timeout-ms": String(Math.ceil(req.timeoutMs)),
          ...(req.idempotent ? {} : operationHeaders(req)),
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

function operationHeaders(
  { operationId, binding }: { operationId: string; binding: HomeBinding },
): Record<string, string> {
  const home = homeHeader(binding);
  return {
    "idempotency-key": operationId,
    ...(home ? { "x-magnoliahook-home": home } : {}),
  };
}
