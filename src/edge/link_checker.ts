/**
 * Checks this instance's links to the endpoints when they may be lost, and until
 * they are back.
 *
 * @module
 */
import type { Clock, Log, Metrics, Timer } from "../core/mod.ts";
import { EndpointLinks, type LinkState } from "../decisions/links/mod.ts";
import type { EndpointRow } from "../traffic/mod.ts";
import type { LinkObserver } from "./http_endpoint_sender.ts";

/** Dependencies of the checker. */
export interface LinkCheckerOptions {
  readonly endpoints: () => Iterable<EndpointRow>;
  /** Whether a new connection to an endpoint works. */
  readonly probe: (endpoint: EndpointRow) => Promise<boolean>;
  /** Called with the new state, and since when new connections had failed. */
  readonly onChange: (state: LinkState, failingSince: number) => void;
  /** Number of instances that reach the endpoints, as far as is known. */
  readonly servingPeers: () => number;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** How often it is asked whether a check is due, in milliseconds. */
const TICK_MS = 250;

/** The links of one instance to its endpoints. */
export class LinkChecker {
  readonly #opts: LinkCheckerOptions;
  readonly #links = new EndpointLinks();
  readonly #listeners = new Set<() => void>();
  #timer: Timer | undefined;
  #isClosed = false;

  constructor(opts: LinkCheckerOptions) {
    this.#opts = opts;
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
        this.#checkIfDue();
      },
    };
  }

  start(): void {
    this.#opts.metrics.gauge("endpoint.links", linkGauge(this.state));
    this.#tick();
  }

  /** Calls a listener once when no connection responds any more. */
  onDown(listener: () => void): Timer {
    this.#listeners.add(listener);
    return { close: () => void this.#listeners.delete(listener) };
  }

  /** Removes the state of an endpoint that has ended. */
  forget({ address }: EndpointRow): void {
    this.#links.forget(address);
  }

  close(): void {
    this.#isClosed = true;
    this.#timer?.close();
  }

  #tick(): void {
    if (this.#isClosed) return;
    this.#timer = this.#opts.clock.after(TICK_MS, () => this.#tick());
    this.#checkIfDue();
  }

  #checkIfDue(): void {
    if (this.#isClosed || !this.#links.isCheckDue(this.#opts.clock.now())) {
      return;
    }
    void this.#check();
  }

  async #check(): Promise<void> {
    const { endpoints, probe, clock } = this.#opts;
    const startedAt = clock.now();
    const rows = this.#links.startCheck(endpoints(), startedAt);
    const results = await Promise.all(rows.map((row) => probe(row)));
    if (this.#isClosed) return;
    const reached = results.filter((isReached) => isReached).length;
    const { failingSince = startedAt } = this.#links;
    const check = { startedAt, probed: rows.length, reached };
    if (!this.#links.endCheck(check, clock.now())) return;
    this.#changed(rows, failingSince);
  }

  #changed(probed: readonly EndpointRow[], failingSince: number): void {
    const { state } = this;
    const { log, metrics, clock, servingPeers, onChange } = this.#opts;
    metrics.gauge("endpoint.links", linkGauge(state));
    log.event("endpoint_links_changed", {
      state,
      probed: probed.map(({ id }) => id).join(" "),
      failingMs: Math.round(clock.now() - failingSince),
      servingPeers: servingPeers(),
    });
    onChange(state, failingSince);
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
