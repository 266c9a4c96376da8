/**
 * Checks this instance's links to the endpoints when they may be lost, and until
 * they are back.
 *
 * @module
 */
import type { Clock, Log, Metrics, Timer } from "../../core/mod.ts";
import {
  EndpointLinks,
  type LinkSample,
  type LinkState,
  type LinkTarget,
} from "./endpoint_links.ts";

/** Receives what attempts show about the links to endpoints. */
export interface LinkObserver {
  /** An attempt begins; `ended` follows. */
  sent(): void;
  ended(sample: LinkSample): void;
}

/** Dependencies of the checker. */
export interface LinkCheckerOptions<T extends LinkTarget> {
  /** Endpoints that accept requests. */
  readonly endpoints: () => Iterable<T>;
  /** Whether a new connection to an endpoint works. */
  readonly probe: (endpoint: T) => Promise<boolean>;
  /** Called with the time since which new connections had failed. */
  readonly onChange: (failingSince: number) => void;
  /** Number of instances that reach the endpoints, as far as is known. */
  readonly servingPeers: () => number;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** How often it is asked whether a check is due, in milliseconds. */
const TICK_MS = 250;

/** The links of one instance to its endpoints. */
export class LinkChecker<T extends LinkTarget = LinkTarget> {
  readonly #opts: LinkCheckerOptions<T>;
  readonly #links = new EndpointLinks();
  readonly #listeners = new Set<() => void>();
  #timer: Timer | undefined;
  #isClosed = false;

  constructor(opts: LinkCheckerOptions<T>) {
    this.#opts = opts;
    opts.metrics.gauge("endpoint.links", linkGauge(this.state));
  }

  get state(): LinkState {
    return this.#links.state;
  }

  /** Whether the links may be lost: they are, or a check is in progress. */
  get isDoubtful(): boolean {
    return this.#links.state !== "up" || this.#links.isChecking;
  }

  /** Receives attempts at endpoints. */
  get observer(): LinkObserver {
    const { clock } = this.#opts;
    return {
      sent: () => this.#links.sent(clock.now()),
      ended: (sample) => {
        this.#links.ended(sample, clock.now());
        this.tick();
      },
    };
  }

  /** Ticks by itself from now on. */
  start(): void {
    if (this.#isClosed) return;
    this.#timer = this.#opts.clock.after(TICK_MS, () => this.start());
    this.tick();
  }

  /** Starts a check if one is due. */
  tick(): void {
    const { clock } = this.#opts;
    if (this.#isClosed || !this.#links.isCheckDue(clock.now())) return;
    void this.#check();
  }

  /** Calls a listener once when no connection responds any more. */
  onDown(listener: () => void): Timer {
    this.#listeners.add(listener);
    return { close: () => void this.#listeners.delete(listener) };
  }

  /** Removes the state of an endpoint that has ended. */
  forget({ address }: LinkTarget): void {
    this.#links.forget(address);
  }

  close(): void {
    this.#isClosed = true;
    this.#timer?.close();
  }

  async #check(): Promise<void> {
    const { endpoints, probe, clock } = this.#opts;
    const startedAt = clock.now();
    const probed = this.#links.startCheck(endpoints(), startedAt);
    const results = await Promise.all(probed.map((target) => probe(target)));
    if (this.#isClosed) return;
    const reached = results.filter((isReached) => isReached).length;
    const { failingSince = startedAt } = this.#links;
    const check = { startedAt, probed: probed.length, reached };
    if (!this.#links.endCheck(check, clock.now())) return;
    this.#changed(probed, failingSince);
  }

  #changed(probed: readonly T[], failingSince: number): void {
    const { state } = this;
    const { log, metrics, clock, servingPeers, onChange } = this.#opts;
    metrics.gauge("endpoint.links", linkGauge(state));
    log.event("endpoint_links_changed", {
      state,
      probed: probed.map(({ address }) => address).join(" "),
      failingMs: Math.round(clock.now() - failingSince),
      servingPeers: servingPeers(),
    });
    onChange(failingSince);
    if (state !== "down") return;
    for (const listener of [...this.#listeners]) listener();
    this.#listeners.clear();
  }
}

function linkGauge(state: LinkState): number {
  switch (state) {
    case "up":
      return 1;
    case "reused-only":
      return 0.5;
    case "down":
      return 0;
  }
}
