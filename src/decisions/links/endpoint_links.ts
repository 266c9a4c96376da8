/**
 * Detects that this instance has lost its links to all endpoints.
 *
 * Load: an instance is partitioned from all endpoints, while callers and the
 * other instances still reach it. Each request would spend its time on connect
 * timeouts, one endpoint after another, and then be refused.
 *
 * A failed connection may as well mean that its endpoint is down, and silence
 * that all endpoints are busy. Both only start a check, which opens connections
 * to endpoints of several zones. The links are lost if none can be opened.
 * Connections that are open already may still work, and their responses prove
 * nothing about new ones.
 *
 * @module
 */

/** Which connections to endpoints work. */
export type LinkState =
  | "up"
  /** Open connections respond, but no new one can be opened. */
  | "reused-only"
  | "down";

/** An endpoint that a check may probe. */
export interface LinkTarget {
  /** Distinguishes it from all others. */
  readonly address: string;
  readonly zone: string;
}

/** How an attempt at an endpoint ended, as far as it concerns the link. */
export interface LinkSample {
  /** Address of the endpoint. */
  readonly address: string;
  /** `none` if the attempt was cancelled before either. */
  readonly outcome: "response" | "failure" | "none";
  readonly isNewConnection: boolean;
}

/** Result of the connections that a check opened. */
export interface LinkCheck {
  readonly startedAt: number;
  readonly probed: number;
  readonly reached: number;
}

/** Endpoints whose new connections fail before a check starts. */
const MIN_FAILED_ENDPOINTS = 2;
/** Time without any response to open requests before a check, in milliseconds. */
const SILENCE_MS = 1_000;
/** Responses within this time show that open connections work. */
const RECENT_MS = 500;
/** Minimum interval of checks, in milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** Endpoints that a check probes, and the minimum for a conclusion. */
const MAX_PROBES = 4;
const MIN_PROBES = 3;
/** Successful checks in a row after which the links are up again. */
const CHECKS_TO_RECOVER = 2;

/** State of the links of one instance to all endpoints. */
export class EndpointLinks {
  /** When the last response of each endpoint was received, by address. */
  readonly #respondedAt = new Map<string, number>();
  /** Endpoints whose new connections failed since one last succeeded. */
  readonly #failed = new Set<string>();
  #state: LinkState = "up";
  #failingSince: number | undefined;
  #lastConnectedAt = -Infinity;
  #lastResponseAt = -Infinity;
  #open = 0;
  /** Since when requests have been open without any response. */
  #silentSince = -Infinity;
  #lastCheckAt = -Infinity;
  #isChecking = false;
  #successfulChecks = 0;

  get state(): LinkState {
    return this.#state;
  }

  /** Whether a check is in progress. */
  get isChecking(): boolean {
    return this.#isChecking;
  }

  /** When new connections began to fail; undefined if the last one did not. */
  get failingSince(): number | undefined {
    return this.#failingSince;
  }

  /** Records that a request is being sent. */
  sent(now: number): void {
    if (this.#open === 0) this.#silentSince = now;
    this.#open++;
  }

  /** Records the end of an attempt that `sent` began. */
  ended(sample: LinkSample, now: number): void {
    this.#open--;
    const { address, outcome, isNewConnection } = sample;
    if (outcome === "response") {
      this.#respondedAt.set(address, now);
      this.#lastResponseAt = now;
      this.#silentSince = now;
      if (isNewConnection) this.#connected(now);
    } else if (outcome === "failure" && isNewConnection) {
      this.#failed.add(address);
      this.#failingSince ??= now;
    }
  }

  /** Removes the state of an endpoint that has ended. */
  forget(address: string): void {
    this.#respondedAt.delete(address);
    this.#failed.delete(address);
  }

  /** Whether a check should start now. */
  isCheckDue(now: number): boolean {
    if (this.#isChecking) return false;
    if (now - this.#lastCheckAt < CHECK_INTERVAL_MS) return false;
    if (this.#state !== "up") return true;
    const isSilent = this.#open > 0 && now - this.#silentSince >= SILENCE_MS;
    return isSilent || this.#failed.size >= MIN_FAILED_ENDPOINTS;
  }

  /**
   * Starts a check: returns the endpoints to probe, which are those that
   * responded last, in as many zones as possible.
   */
  startCheck<T extends LinkTarget>(targets: Iterable<T>, now: number): T[] {
    this.#isChecking = true;
    this.#lastCheckAt = now;
    const respondedAt = ({ address }: T) => this.#respondedAt.get(address) ?? 0;
    const byResponse = [...targets].sort((a, b) =>
      respondedAt(b) - respondedAt(a)
    );
    const zones = new Set<string>();
    const firstOfZone = byResponse.filter(({ zone }) => {
      if (zones.has(zone)) return false;
      zones.add(zone);
      return true;
    });
    const rest = byResponse.filter((target) => !firstOfZone.includes(target));
    return [...firstOfZone, ...rest].slice(0, MAX_PROBES);
  }

  /** Ends a check; returns whether the state of the links has changed. */
  endCheck({ startedAt, probed, reached }: LinkCheck, now: number): boolean {
    this.#isChecking = false;
    const before = this.#state;
    const isUp = reached > 0 || this.#lastConnectedAt >= startedAt ||
      probed < MIN_PROBES;
    if (isUp) {
      this.#successfulChecks++;
      const hasRecovered = this.#successfulChecks >= CHECKS_TO_RECOVER;
      if (before === "up" || hasRecovered) this.#recover(now);
    } else {
      this.#successfulChecks = 0;
      const hasResponses = now - this.#lastResponseAt < RECENT_MS;
      this.#state = hasResponses ? "reused-only" : "down";
    }
    return before !== this.#state;
  }

  #recover(now: number): void {
    this.#state = "up";
    this.#failed.clear();
    this.#failingSince = undefined;
    this.#silentSince = now;
  }

  #connected(now: number): void {
    this.#lastConnectedAt = now;
    if (this.#state !== "up") return;
    this.#failed.clear();
    this.#failingSince = undefined;
  }
}
