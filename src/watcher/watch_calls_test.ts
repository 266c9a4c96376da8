import test from "ava";
import { err, ok, type Result } from "neverthrow";
import {
  type Clock,
  type Failure,
  failure,
  ManualClock,
  type Random,
  SeededRandom,
  SilentLog,
} from "../core/mod.ts";
import { RecordedLog } from "../edge/testing/recorded_log.ts";
import type { Changes, ResourceClient, StoredEntry } from "./mod.ts";
import { ResourceWatcher, WatchCalls } from "./mod.ts";

const KINDS = ["plans", "endpoints", "evacuations"] as const;
type Kind = (typeof KINDS)[number];
/** As in the store's client: a watch fails this long after its wait. */
const MARGIN_MS = 800;
const TICK_MS = 10;

interface Connection {
  isSilent: boolean;
  isIdle: boolean;
}

/** A store whose open connections can go silent while new ones work. */
class FakeStore {
  calls = 0;
  latencyMs = 2;
  isDown = false;
  readonly #clock: Clock;
  readonly #connections = new Set<Connection>();
  readonly #revisions = new Map<Kind, number>();
  readonly #waiting = new Set<() => void>();
  #revision = 1;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  put(kind: Kind): number {
    this.#revisions.set(kind, ++this.#revision);
    for (const wake of [...this.#waiting]) wake();
    return this.#revision;
  }

  silence(): void {
    for (const connection of this.#connections) connection.isSilent = true;
  }

  /** A client with its own connections, as each instance has. */
  client(kind: Kind, pool: Set<Connection>): ResourceClient<number> {
    return {
      list: () => this.#list(kind),
      watch: (revision, waitMs, signal, opts) =>
        this.#watch(kind, {
          revision,
          waitMs,
          signal,
          connection: this.#connect(
            opts?.newConnection === true ? undefined : pool,
          ),
        }),
      renewConnections: () => pool.clear(),
      read: () => undefined,
    };
  }

  #connect(pool: Set<Connection> | undefined): Connection {
    const idle = [...pool ?? []].find(({ isIdle }) => isIdle);
    const connection = idle ?? { isSilent: false, isIdle: false };
    connection.isIdle = false;
    this.#connections.add(connection);
    pool?.add(connection);
    return connection;
  }

  #entry(kind: Kind): StoredEntry<number> {
    const revision = this.#revisions.get(kind) ?? 1;
    return { name: kind, revision, value: revision, raw: {} };
  }

  #list(kind: Kind) {
    const revision = this.#revision;
    return Promise.resolve(ok({ entries: [this.#entry(kind)], revision }));
  }

  #watch(
    kind: Kind,
    call: {
      readonly revision: number;
      readonly waitMs: number;
      readonly signal: AbortSignal;
      readonly connection: Connection;
    },
  ): Promise<Result<Changes<number>, Failure>> {
    const { revision, waitMs, signal, connection } = call;
    this.calls++;
    return new Promise((resolve) => {
      const answer = () => {
        this.#waiting.delete(wake);
        this.#clock.after(this.latencyMs, () => {
          if (connection.isSilent || this.isDown) return;
          connection.isIdle = true;
          const entry = this.#entry(kind);
          const changes = entry.revision > revision
            ? [{ entry, deleted: false }]
            : [];
          resolve(ok({ changes, revision: this.#revision }));
        });
      };
      const wake = () => {
        if ((this.#revisions.get(kind) ?? 1) > revision) answer();
      };
      const fail = () => resolve(err(failure("platform_unavailable", "late")));
      signal.addEventListener("abort", fail);
      this.#clock.after(waitMs + MARGIN_MS, fail);
      if (connection.isSilent || this.isDown) return;
      if ((this.#revisions.get(kind) ?? 1) > revision) return answer();
      this.#waiting.add(wake);
      this.#clock.after(waitMs, answer);
    });
  }
}

/** One instance that watches all kinds. */
function watcherOf(store: FakeStore, clock: Clock, random: Random) {
  const pool = new Set<Connection>();
  const revisions = new Map<Kind, number>();
  const log = new RecordedLog();
  const calls = new WatchCalls({
    kinds: KINDS,
    clock,
    random,
    log,
    renewConnections: () => pool.clear(),
  });
  const lost: string[] = [];
  const watchers = KINDS.map((kind) =>
    new ResourceWatcher({
      kind,
      source: store.client(kind, pool),
      handler: {
        replaced: (entries) => revisions.set(kind, entries[0]?.revision ?? 0),
        changed: ({ revision }) => revisions.set(kind, revision),
        deleted: () => {},
        setReachable: (isReachable) => isReachable || lost.push(kind),
      },
      clock,
      random,
      log: new SilentLog(),
      calls,
    })
  );
  for (const watcher of watchers) {
    watcher.setWatching(true);
    void watcher.run();
  }
  return {
    revisions,
    log,
    lost,
    close: () => watchers.forEach((watcher) => watcher.close()),
  };
}

async function flush() {
  for (let i = 0; i < 20; i++) await Promise.resolve();
}

function play(seed: number) {
  const clock = new ManualClock();
  const store = new FakeStore(clock);
  const watcher = watcherOf(store, clock, new SeededRandom(seed));
  const pass = async (ms: number) => {
    await flush();
    for (let at = 0; at < ms; at += TICK_MS) {
      clock.advance(TICK_MS);
      await flush();
    }
  };
  return { clock, store, watcher, pass };
}

// Guards against acting on an old plan or drain after all connections went
// silent, at a lone watcher as well. Changes before put the calls in step.
for (const kind of KINDS) {
  test(`a change of ${kind} is read within 1.9 s of a silence`, async (t) => {
    for (let silentAfterMs = 0; silentAfterMs < 2_600; silentAfterMs += 130) {
      for (const ackAfterMs of [0, 90, 700]) {
        const { clock, store, watcher, pass } = play(silentAfterMs);
        await pass(4_000);
        for (const changed of KINDS) store.put(changed);
        await pass(silentAfterMs);
        store.silence();
        const silentAt = clock.now();
        await pass(ackAfterMs);
        const revision = store.put(kind);
        const boundAt = Math.max(silentAt, clock.now()) + 1_900;
        while (watcher.revisions.get(kind) !== revision) {
          if (clock.now() > boundAt) break;
          await pass(TICK_MS);
        }
        watcher.close();
        const tookMs = clock.now() - silentAt;
        t.is(
          watcher.revisions.get(kind),
          revision,
          `not ${tookMs} ms after the silence, which began ` +
            `${silentAfterMs} ms after the last changes`,
        );
        t.deepEqual(watcher.lost, [], "the store was reachable");
      }
    }
  });
}

// Guards against idle connections of the silent pool: the calls of a series of
// changes start on them, and none waits when the silence begins.
test("a silence during a series of changes is detected in time", async (t) => {
  for (let seed = 0; seed < 40; seed++) {
    const { clock, store, watcher, pass } = play(seed);
    await pass(3_000);
    for (let i = 0; i < 15 + seed; i++) {
      store.put(KINDS[i % 2] ?? "plans");
      await pass(70);
    }
    store.silence();
    const silentAt = clock.now();
    const revision = store.put("plans");
    while (watcher.revisions.get("plans") !== revision) {
      if (clock.now() > silentAt + 2_500) break;
      await pass(TICK_MS);
    }
    watcher.close();
    const tookMs = clock.now() - silentAt;
    t.true(tookMs <= 1_900, `seed ${seed}: ${tookMs} ms`);
  }
});

// Guards against a price for the detection: calls are billed. A watch of 3 s
// costs 60 calls a minute for three kinds.
test("calm operation costs at most a quarter more calls than a watch of 3 s", async (t) => {
  const { store, watcher, pass } = play(1);
  await pass(3_000);
  store.calls = 0;
  await pass(60_000);
  watcher.close();
  t.true(store.calls <= 60 * 1.25, `${store.calls} calls`);
  t.is(watcher.log.of("store_connection_silent").length, 0);
});

// Guards against repeated calls at each response of a slow store.
test("a store that answers late is not taken for silent", async (t) => {
  for (const latencyMs of [300, 480, 700]) {
    const { store, watcher, pass } = play(1);
    await pass(3_000);
    store.latencyMs = latencyMs;
    await pass(30_000);
    watcher.close();
    t.is(watcher.log.of("store_connection_silent").length, 0);
    t.deepEqual(watcher.lost, [], `${latencyMs} ms`);
  }
});

// Guards against a silence that is reported again for each kind, with new calls
// for all of them each time.
test("a silence is reported once, and costs a call for each kind", async (t) => {
  const { store, watcher, pass } = play(2);
  await pass(5_000);
  store.silence();
  store.calls = 0;
  await pass(2_000);
  watcher.close();
  t.is(watcher.log.of("store_connection_silent").length, 1);
  // Three reads at once, and two or three waits of 2.5 s that follow.
  t.true(store.calls <= 9, `${store.calls} calls`);
});

// Guards against a store that is down being taken for a silent connection.
test("a store that responds to nobody is an outage of all kinds", async (t) => {
  const { store, watcher, pass } = play(3);
  await pass(5_000);
  store.isDown = true;
  await pass(4_000);
  watcher.close();
  t.is(watcher.log.of("store_connection_silent").length, 0);
  t.deepEqual([...watcher.lost].sort(), [...KINDS].sort());
});
