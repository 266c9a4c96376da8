/**
 * The simulated network between instances: it delays, drops and duplicates
 * messages, and partitions pairs of instances.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import {
  type Clock,
  fail,
  type Failure,
  type Random,
} from "../../src/core/mod.ts";
import type { InstanceHandlers } from "../../src/instance/mod.ts";
import type { DocumentTransport, PeerTransport } from "../../src/peers/mod.ts";
import type { SoakClock } from "./soak_clock.ts";

/** An instance as an endpoint of the simulated network. */
export interface NetworkNode {
  readonly name: string;
  readonly clock: SoakClock;
  /** Request handlers; undefined while its listeners are closed. */
  handlers: InstanceHandlers | undefined;
}

const MAX_DELAY_MS = 40;
const DEFAULT_TIMEOUT_MS = 1_000;
const BORROW_TIMEOUT_MS = 150;

/** Options of a call. */
export interface CallOptions {
  readonly timeoutMs?: number;
  /** Never duplicates the request, as on a connection of its own. */
  readonly once?: boolean;
}

/** The network between all instances. */
export class SoakNetwork {
  readonly nodes: Map<string, NetworkNode> = new Map();
  /** Partitioned directions, as `from to`; their messages are dropped. */
  readonly cuts: Set<string> = new Set();
  readonly faults = { drop: 0, repeat: 0 };
  count = 0;
  readonly #world: Clock;
  readonly #random: Random;

  constructor(world: Clock, random: Random) {
    this.#world = world;
    this.#random = random;
  }

  /** The peer and document transport of one instance. */
  transportOf(from: NetworkNode): PeerTransport & DocumentTransport {
    return {
      exchange: (url, batch) =>
        this.call(from, url, (h) => Promise.resolve(h.batch(batch))),
      settle: (url, req, ms) =>
        this.call(from, url, (h) => Promise.resolve(h.ledger.settle(req)), {
          timeoutMs: ms,
        }),
      forward: (url, req, ms) =>
        this.call(from, url, (h) => h.ledger.forward(req), { timeoutMs: ms }),
      borrow: (url, req) =>
        this.call(from, url, (h) => Promise.resolve(h.borrow(req)), {
          timeoutMs: BORROW_TIMEOUT_MS,
        }),
      fetchManifest: (url) =>
        this.call(
          from,
          url,
          (h) => Promise.resolve(h.document.fetchManifest()),
        ),
      fetchContent: (url, digest) =>
        this.call(
          from,
          url,
          (h) => Promise.resolve(h.document.fetchContent(digest)),
        ),
      close: () => Promise.resolve(),
    };
  }

  /** Calls another instance; fails if it is down or the call times out. */
  call<T>(
    from: NetworkNode,
    url: string,
    run: (handlers: InstanceHandlers) => Promise<T>,
    { timeoutMs = DEFAULT_TIMEOUT_MS, once = false }: CallOptions = {},
  ): Promise<Result<T, Failure>> {
    this.count += 1;
    const to = this.nodes.get(url);
    return new Promise((resolve) => {
      const settle = async (result: Result<T, Failure>) => {
        await from.clock.untilRunning();
        resolve(result);
      };
      if (to === undefined || to.clock.ended || to.handlers === undefined) {
        void settle(unreachable("not-run"));
        return;
      }
      from.clock.after(timeoutMs, () => resolve(unreachable("unknown")));
      const repeat = !once && this.#random.next() < this.faults.repeat;
      const copies = repeat ? 2 : 1;
      for (let i = 0; i < copies; i++) {
        this.#transmit(from, to, async () => {
          await to.clock.untilRunning();
          if (to.handlers === undefined) return;
          const answer = await run(to.handlers);
          this.#transmit(to, from, () => void settle(ok(answer)));
        });
      }
    });
  }

  #transmit(from: NetworkNode, to: NetworkNode, deliver: () => void): void {
    const pair = `${from.name} ${to.name}`;
    if (this.cuts.has(pair) || this.#random.next() < this.faults.drop) return;
    this.#world.after(this.#random.below(MAX_DELAY_MS), deliver);
  }
}

function unreachable<T>(outcome: "not-run" | "unknown"): Result<T, Failure> {
  return fail("peer_unavailable", "no answer", { outcome });
}
