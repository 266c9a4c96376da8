/**
 * Messages between instances in the soak: late, lost on the way there or back,
 * repeated, and cut.
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

/** An instance as the network sees it. */
export interface NetworkNode {
  readonly name: string;
  readonly clock: SoakClock;
  /** What it answers with; undefined until its listeners are open. */
  handlers: InstanceHandlers | undefined;
}

const MAX_DELAY_MS = 40;
const DEFAULT_TIMEOUT_MS = 1_000;
const BORROW_TIMEOUT_MS = 150;

/** How a call goes. */
export interface CallOptions {
  readonly timeoutMs?: number;
  /** A request on a connection of its own, which no network repeats. */
  readonly once?: boolean;
}

/** All connections between instances. */
export class SoakNetwork {
  readonly nodes: Map<string, NetworkNode> = new Map();
  /** Pairs `from to` whose messages are lost. */
  readonly cuts: Set<string> = new Set();
  readonly faults = { drop: 0, repeat: 0 };
  count = 0;
  readonly #world: Clock;
  readonly #random: Random;

  constructor(world: Clock, random: Random) {
    this.#world = world;
    this.#random = random;
  }

  /** The sending side of one instance. */
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
      borrow: (url, ask) =>
        this.call(from, url, (h) => Promise.resolve(h.borrow(ask)), {
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

  /** Calls another instance; fails as a transport does. */
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
        await from.clock.gate();
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
        this.#carry(from, to, async () => {
          await to.clock.gate();
          if (to.handlers === undefined) return;
          const answer = await run(to.handlers);
          this.#carry(to, from, () => void settle(ok(answer)));
        });
      }
    });
  }

  #carry(from: NetworkNode, to: NetworkNode, deliver: () => void): void {
    const pair = `${from.name} ${to.name}`;
    if (this.cuts.has(pair) || this.#random.next() < this.faults.drop) return;
    this.#world.after(this.#random.below(MAX_DELAY_MS), deliver);
  }
}

function unreachable<T>(outcome: "not-run" | "unknown"): Result<T, Failure> {
  return fail("peer_unavailable", "no answer", { outcome });
}
