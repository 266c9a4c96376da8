/**
 * The client library: looks up instances, sends requests, and reports whether
 * a failed request may have run.
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
import {
  isRetryable,
  operationOutcome,
  parseFailure,
  transportFailure,
} from "./outcomes.ts";

/** Settings of a {@link Client}. */
export interface ClientOptions {
  /** Base URLs of entry instances, used until a look-up succeeds. */
  readonly seeds: readonly string[];
  /** The client account's key, sent as bearer token. */
  readonly key: string;
  readonly clock?: Clock;
  readonly random?: Random;
}

/** One request to a service. */
export interface ClientRequest {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly body?: string | Uint8Array;
  readonly headers?: Readonly<Record<string, string>>;
  /** Timeout of the whole call with its retries, in milliseconds. */
  readonly timeoutMs: number;
  /** Whether the request can safely run more than once. */
  readonly idempotent: boolean;
  /** Set to retry an earlier call; generated otherwise. */
  readonly operationId?: string;
  /** The home of a call that another process made, from its `homeOf`. */
  readonly home?: string;
}

/** A complete response. */
export interface ClientResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Uint8Array;
}

const LookupResponse = z.object({
  reuse_ms: z.number().nonnegative(),
  instances: z.array(
    z.object({ url: z.string(), home: z.string().optional() }),
  ),
});
type LookupResponse = z.infer<typeof LookupResponse>;

const OPERATION_ID_BYTES = 16;
const MAX_ATTEMPTS = 4;
const INITIAL_BACKOFF_MS = 50;
const LOOKUP_TIMEOUT_MS = 1_000;

/**
 * Sends requests to services, with retries across instances.
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
  #cachedLookup: LookupResponse | undefined;
  #lookupExpiresAt = -Infinity;
  #pendingLookup: Promise<LookupResponse | undefined> | undefined;

  constructor(opts: ClientOptions) {
    this.#opts = opts;
    this.#clock = opts.clock ?? new SystemClock();
    this.#random = opts.random ?? new SystemRandom();
    this.#bindings = new HomeBindings(this.#clock);
  }

  /**
   * Sends a request and returns the complete response, whatever its status.
   *
   * Failures carry `outcome`: `not-run` if the request certainly did not run,
   * `unknown` if it may have. Requests that are not idempotent are retried with
   * the same operation id and home, so that a retry returns the recorded
   * response and never runs the request a second time.
   */
  async send(req: ClientRequest): Promise<Result<ClientResponse, Failure>> {
    const deadline = this.#clock.now() + req.timeoutMs;
    const operationId = req.operationId ?? this.#random.hex(OPERATION_ID_BYTES);
    let binding = await this.#bindingFor(req);
    let last: Result<ClientResponse, Failure> = fail(
      "no_capacity",
      "the timeout elapsed before the first attempt",
      { outcome: binding.mayHaveRun ? "unknown" : "not-run" },
    );
    for (let i = 0; i < MAX_ATTEMPTS; i++) {
      const timeoutMs = deadline - this.#clock.now();
      if (timeoutMs <= 0) break;
      const instanceUrl = await this.#instanceUrl(i);
      last = await this.#attempt(instanceUrl, {
        ...req,
        operationId,
        timeoutMs,
        binding,
      });
      if (last.isOk()) {
        binding = { ...binding, mayHaveRun: true };
        break;
      }
      const outcome = operationOutcome(last.error, binding);
      last = err({ ...last.error, outcome });
      const retry = isRetryable(last.error, binding);
      if (outcome === "unknown") binding = { ...binding, mayHaveRun: true };
      const waitMs = this.#backoff(i, last.error);
      if (!retry || this.#clock.now() + waitMs >= deadline) break;
      await sleep(this.#clock, waitMs);
      if (outcome === "not-run") binding = await this.#rebind(binding, i + 1);
    }
    if (req.operationId) this.#bindings.set(req.operationId, binding);
    return last;
  }

  /**
   * The home of an operation id that this process sent. An application that
   * may retry from another process stores it with the id.
   */
  homeOf(operationId: string): string | undefined {
    const binding = this.#bindings.get(operationId);
    return binding && homeHeader(binding);
  }

  /** Closes pooled connections. */
  async close(): Promise<void> {
    await this.#agent.close();
  }

  async #bindingFor(req: ClientRequest): Promise<HomeBinding> {
    const existing = req.operationId && this.#bindings.get(req.operationId);
    if (existing) return existing;
    if (req.home) return { home: req.home, round: 0, mayHaveRun: true };
    const response = req.idempotent ? undefined : await this.#lookup();
    const home = response?.instances[0]?.home;
    return { home, round: 0, mayHaveRun: false };
  }

  /**
   * Picks a new home from a new look-up, only after a definite `not-run`. The
   * cached homes may share the cause of the refusal, for example a dead
   * instance that holds the second record for all of them.
   */
  async #rebind(binding: HomeBinding, attempt: number): Promise<HomeBinding> {
    this.#lookupExpiresAt = -Infinity;
    const instances = (await this.#lookup())?.instances ?? [];
    const home = instances[attempt % Math.max(1, instances.length)]?.home;
    return { home, round: binding.round + 1, mayHaveRun: false };
  }

  async #instanceUrl(attempt: number): Promise<string> {
    const response = await this.#lookup();
    const urls = response?.instances.map((c) => c.url) ?? [];
    const candidates = urls.length > 0 ? urls : this.#opts.seeds;
    return candidates[attempt % candidates.length] ?? "";
  }

  /**
   * Concurrent requests share one look-up. Otherwise every expiry would cause
   * one look-up per request in flight, most of all when instances are slow.
   */
  async #lookup(): Promise<LookupResponse | undefined> {
    if (this.#clock.now() < this.#lookupExpiresAt) return this.#cachedLookup;
    this.#pendingLookup ??= this.#refreshLookup().finally(() => {
      this.#pendingLookup = undefined;
    });
    return await this.#pendingLookup;
  }

  async #refreshLookup(): Promise<LookupResponse | undefined> {
    const known = this.#cachedLookup?.instances.map((c) => c.url) ?? [];
    for (const url of [...known, ...this.#opts.seeds]) {
      const response = await this.#fetchLookup(url);
      if (response === undefined) continue;
      this.#cachedLookup = response;
      this.#lookupExpiresAt = this.#clock.now() + response.reuse_ms;
      return response;
    }
    return this.#cachedLookup;
  }

  async #fetchLookup(url: string): Promise<LookupResponse | undefined> {
    try {
      const res = await request(`${url}/v1/lookup`, {
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(LOOKUP_TIMEOUT_MS),
      });
      return LookupResponse.parse(await res.body.json());
    } catch {
      return undefined;
    }
  }

  async #attempt(
    instanceUrl: string,
    req: ClientRequest & { operationId: string; binding: HomeBinding },
  ): Promise<Result<ClientResponse, Failure>> {
    try {
      const res = await request(
        `${instanceUrl}/services/${req.service}${req.path}`,
        {
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
        },
      );
      const body = new Uint8Array(await res.body.arrayBuffer());
      const refusal = parseFailure(res.headers["x-magnoliahook-outcome"], body);
      if (refusal) return err(refusal);
      return ok({ status: res.statusCode, headers: res.headers, body });
    } catch (cause) {
      return transportFailure(cause);
    }
  }

  #backoff(attempt: number, failure: Failure): number {
    const base = failure.retryAfterMs ?? INITIAL_BACKOFF_MS * 2 ** attempt;
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
