/**
 * Checks that instances honour what endpoints state in their responses: that
 * they want no requests for a while, or that they leave.
 *
 * @module
 */
import type { Disturbances, SentAttempt } from "./property_checker.ts";

/** Time after a refusal in which requests may still be on their way. */
const IN_FLIGHT_MS = 500;
/** Requests that may reach an endpoint during its backoff. */
const MAX_REQUESTS_IN_BACKOFF = 2;
/** Time after which a leaving endpoint gets no request sent later. */
const DRAIN_MS = 2_000;
const MS_PER_S = 1_000;

/** A backoff that an endpoint asked an instance for. */
interface Backoff {
  readonly askedAt: number;
  readonly until: number;
  requests: number;
}

/** Dependencies of the checker. */
export interface EndpointSignalCheckerOptions {
  readonly disturbances: Disturbances;
  readonly onViolation: (property: string, request: string) => void;
}

/** Tracks backoffs and leaving by endpoint and incarnation of an instance. */
export class EndpointSignalChecker {
  readonly #opts: EndpointSignalCheckerOptions;
  readonly #backoffs = new Map<string, Backoff[]>();
  readonly #leavingSince = new Map<string, number>();

  constructor(opts: EndpointSignalCheckerOptions) {
    this.#opts = opts;
  }

  /** Records that an endpoint refused a request with a Retry-After. */
  backoffRequested(
    endpoint: string,
    attempt: SentAttempt,
    retryAfterS: number,
  ): void {
    const now = Date.now();
    const key = pairOf(endpoint, attempt);
    const open = (this.#backoffs.get(key) ?? []).filter(({ until }) =>
      until > now
    );
    open.push({
      askedAt: now,
      until: now + retryAfterS * MS_PER_S,
      requests: 0,
    });
    this.#backoffs.set(key, open);
  }

  /** Records that an instance passed on a response that announces leaving. */
  leavingPassedOn(endpoint: string, attempt: SentAttempt): void {
    const key = pairOf(endpoint, attempt);
    if (!this.#leavingSince.has(key)) this.#leavingSince.set(key, Date.now());
  }

  /** Checks a request that arrives at an endpoint. */
  arrived(endpoint: string, attempt: SentAttempt): void {
    this.#checkBackoff(endpoint, attempt);
    const key = pairOf(endpoint, attempt);
    const since = this.#leavingSince.get(key) ?? Infinity;
    if (attempt.sentAt <= since + DRAIN_MS) return;
    if (this.#opts.disturbances.freeze(attempt.instance) >= since) return;
    this.#opts.onViolation(
      "an endpoint that announces its leaving gets no new work",
      attempt.request,
    );
  }

  #checkBackoff(endpoint: string, attempt: SentAttempt): void {
    const now = Date.now();
    let isViolated = false;
    for (const backoff of this.#backoffs.get(pairOf(endpoint, attempt)) ?? []) {
      if (now < backoff.askedAt + IN_FLIGHT_MS || now >= backoff.until) {
        continue;
      }
      if (this.#isExcused(backoff, endpoint, attempt)) continue;
      backoff.requests++;
      if (backoff.requests > MAX_REQUESTS_IN_BACKOFF) isViolated = true;
    }
    if (!isViolated) return;
    this.#opts.onViolation(
      "an endpoint in backoff gets no requests",
      attempt.request,
    );
  }

  /** The refusal may not have arrived, or requests may have been held up. */
  #isExcused(
    { askedAt }: Backoff,
    endpoint: string,
    sent: SentAttempt,
  ): boolean {
    const { disturbances } = this.#opts;
    return disturbances.freeze(sent.instance) >= askedAt ||
      disturbances.cutUntil(sent.instance) >= askedAt ||
      disturbances.endpoint(endpoint) >= askedAt - IN_FLIGHT_MS;
  }
}

function pairOf(endpoint: string, { instance, life }: SentAttempt): string {
  return `${endpoint} ${instance} ${life}`;
}
