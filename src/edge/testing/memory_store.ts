/**
 * A store in memory that instances list and watch, on a manual clock.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import {
  type Clock,
  type EndpointId,
  type Failure,
  failure,
} from "../../core/mod.ts";
import type { EndpointRecord, TrafficPlan } from "../../traffic/mod.ts";
import type {
  Changes,
  ResourceClient,
  Snapshot,
  StoredChange,
  StoredEntry,
} from "../../watcher/mod.ts";
import type { SteeringSources } from "../steering_sources.ts";
import { endpoint, plan } from "./traffic_fixtures.ts";

type Kind = "plans" | "endpoints" | "evacuations";

interface HistoryEntry {
  readonly kind: Kind;
  readonly change: StoredChange<unknown>;
}

/** How long a call to a store that does not respond takes to fail, in ms. */
const SILENT_CALL_MS = 800;

/** Objects, their history, and the calls that wait for changes. */
export class MemoryStore {
  /** Whether the store responds at all. */
  isUp = true;
  #revision = 1;
  readonly #clock: Clock;
  readonly #objects = new Map<
    string,
    { kind: Kind; entry: StoredEntry<unknown> }
  >();
  readonly #history: HistoryEntry[] = [];
  readonly #waiting = new Set<() => void>();

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#put("plans", "main", plan());
  }

  /** Registers an endpoint. */
  register(id: string): void {
    this.#put("endpoints", id, endpoint({ id: id as EndpointId }));
  }

  /** Removes an endpoint's entry. */
  remove(id: string): void {
    const key = `endpoints/${id}`;
    const known = this.#objects.get(key);
    if (known === undefined) return;
    this.#objects.delete(key);
    const entry = { ...known.entry, revision: ++this.#revision };
    this.#changed({ kind: "endpoints", change: { entry, deleted: true } });
  }

  /** The sources of an instance that reaches the store while `reaches` says so. */
  sources(reaches: () => boolean): Omit<SteeringSources, "instances"> {
    const isUp = () => this.isUp && reaches();
    return {
      plans: this.#client<TrafficPlan>("plans", isUp),
      endpoints: this.#client<EndpointRecord>("endpoints", isUp),
      evacuations: this.#client<true>("evacuations", isUp),
    };
  }

  #put(kind: Kind, name: string, value: unknown): void {
    const revision = ++this.#revision;
    const entry = { name, revision, value, raw: { name, revision, value } };
    this.#objects.set(`${kind}/${name}`, { kind, entry });
    this.#changed({ kind, change: { entry, deleted: false } });
  }

  #changed(entry: HistoryEntry): void {
    this.#history.push(entry);
    for (const wake of [...this.#waiting]) wake();
  }

  #client<T>(kind: Kind, isUp: () => boolean): ResourceClient<T> {
    return {
      list: async () => {
        if (!isUp()) return await this.#noResponse();
        return ok(this.#list(kind) as Snapshot<T>);
      },
      watch: async (revision, waitMs, signal) => {
        if (!isUp()) return await this.#noResponse();
        await this.#change(kind, revision, { waitMs, signal });
        if (!isUp()) return await this.#noResponse();
        return ok(this.#since(kind, revision) as Changes<T>);
      },
      read: (raw) => raw as StoredEntry<T>,
    };
  }

  #list(kind: Kind): Snapshot<unknown> {
    const all = [...this.#objects.values()].filter((o) => o.kind === kind);
    return { entries: all.map((o) => o.entry), revision: this.#revision };
  }

  #since(kind: Kind, revision: number): Changes<unknown> {
    const changes = this.#history.filter((h) => h.kind === kind)
      .map((h) => h.change)
      .filter(({ entry }) => entry.revision > revision);
    return { changes, revision: this.#revision };
  }

  /** Waits for a change of a kind. */
  #change(
    kind: Kind,
    revision: number,
    { waitMs, signal }: {
      readonly waitMs: number;
      readonly signal: AbortSignal;
    },
  ): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        timer.close();
        signal.removeEventListener("abort", finish);
        this.#waiting.delete(wake);
        resolve();
      };
      const wake = () => {
        if (this.#since(kind, revision).changes.length > 0) finish();
      };
      const timer = this.#clock.after(waitMs, finish);
      signal.addEventListener("abort", finish, { once: true });
      this.#waiting.add(wake);
      wake();
    });
  }

  #noResponse(): Promise<Result<never, Failure>> {
    const failed = err(failure("platform_unavailable", "no response"));
    return new Promise((resolve) => {
      this.#clock.after(SILENT_CALL_MS, () => resolve(failed));
    });
  }
}
