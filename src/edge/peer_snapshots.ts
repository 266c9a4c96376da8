/**
 * All objects of a kind, fetched from another instance.
 *
 * It serves an instance that missed a change, for less than a call to the
 * store, and one that starts while the store is away.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { ok, type Result } from "neverthrow";
import {
  fail,
  type Failure,
  HttpCalls,
  packJson,
  type Random,
  someOf,
  unpackJson,
} from "../core/mod.ts";
import { type InstanceProfile, splitAddress } from "../fleet/mod.ts";
import type { RelayedSnapshot } from "../watcher/mod.ts";
import type { PlainAnswer } from "./plain_server.ts";

/** How long a fetch may take, in milliseconds: some 200 KB on a small link. */
const FETCH_MS = 800;
/** Instances that are tried. */
const TRIED = 2;
const PATH = "/kinds/";

/** Where an instance serves snapshots: the port beside that for digests. */
export function snapshotAddress(digestAddress: string): string {
  const { host, port } = splitAddress(digestAddress);
  return `${host}:${port + 1}`;
}

/** Answers another instance's question for a kind. */
export function answerSnapshot(
  url: string,
  snapshotOf: (kind: string) => RelayedSnapshot | undefined,
): PlainAnswer {
  if (!url.startsWith(PATH)) return { status: 404 };
  const snapshot = snapshotOf(url.slice(PATH.length));
  if (snapshot === undefined) return { status: 503 };
  const body = packJson(snapshot);
  return { status: 200, contentType: "application/octet-stream", body };
}

/** Fetches snapshots. */
export class PeerSnapshots {
  readonly #random: Random;
  readonly #calls = new HttpCalls(FETCH_MS);

  constructor(random: Random) {
    this.#random = random;
  }

  /**
   * Asks instances that know enough, one after another.
   *
   * Errors: `peer_unavailable`.
   */
  async fetch(
    kind: string,
    from: readonly InstanceProfile[],
    signal: AbortSignal,
  ): Promise<Result<RelayedSnapshot, Failure>> {
    for (const profile of someOf(from, TRIED, this.#random)) {
      const snapshot = await this.#ask(kind, profile, signal);
      if (snapshot !== undefined) return ok(snapshot);
    }
    return fail("peer_unavailable", "no instance told what it knows");
  }

  close(): void {
    this.#calls.close();
  }

  /** Undefined where there is no answer; another one is asked then. */
  async #ask(
    kind: string,
    { digestAddress }: InstanceProfile,
    signal: AbortSignal,
  ): Promise<RelayedSnapshot | undefined> {
    try {
      const { status, body } = await this.#calls.call({
        ...splitAddress(snapshotAddress(digestAddress)),
        method: "GET",
        path: PATH + kind,
        timeoutMs: FETCH_MS,
        signal,
      });
      return status === 200 ? readSnapshot(body) : undefined;
    } catch {
      return undefined;
    }
  }
}

function readSnapshot(bytes: Buffer): RelayedSnapshot | undefined {
  const snapshot = unpackJson(bytes) as RelayedSnapshot;
  const { revision, changedAt, objects, holdMs } = snapshot;
  const figures = [revision, changedAt, holdMs].every(Number.isFinite);
  return figures && Array.isArray(objects) ? snapshot : undefined;
}
