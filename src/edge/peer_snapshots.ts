/**
 * Fetches all objects of a kind from another instance.
 *
 * Used by an instance that missed a change, at a lower cost than a call to the
 * store, and by one that starts while the store is unavailable.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { ok, type Result } from "neverthrow";
import {
  fail,
  type Failure,
  HttpClient,
  packJson,
  type Random,
  sampleConsecutive,
  unpackJson,
} from "../core/mod.ts";
import { type InstanceProfile, splitAddress } from "../fleet/mod.ts";
import type { RelayedSnapshot } from "../watcher/mod.ts";
import type { PlainResponse } from "./plain_server.ts";

/** Timeout of a fetch, in milliseconds: about 200 KB over a slow link. */
const FETCH_TIMEOUT_MS = 800;
const MAX_PEERS = 2;
const PATH_PREFIX = "/kinds/";

/** The address for snapshots: one port above that for digests. */
export function snapshotAddress(digestAddress: string): string {
  const { host, port } = splitAddress(digestAddress);
  return `${host}:${port + 1}`;
}

/** Handles a peer's request for a snapshot of a kind. */
export function serveSnapshot(
  url: string,
  snapshotOf: (kind: string) => RelayedSnapshot | undefined,
): PlainResponse {
  if (!url.startsWith(PATH_PREFIX)) return { status: 404 };
  const snapshot = snapshotOf(url.slice(PATH_PREFIX.length));
  if (snapshot === undefined) return { status: 503 };
  const body = packJson(snapshot);
  return { status: 200, contentType: "application/octet-stream", body };
}

/** Fetches snapshots from peers. */
export class PeerSnapshots {
  readonly #random: Random;
  readonly #calls = new HttpClient(FETCH_TIMEOUT_MS);

  constructor(random: Random) {
    this.#random = random;
  }

  /**
   * Tries up to `MAX_PEERS` of the given instances, one after another.
   *
   * Errors: `peer_unavailable`.
   */
  async fetch(
    kind: string,
    from: readonly InstanceProfile[],
    signal: AbortSignal,
  ): Promise<Result<RelayedSnapshot, Failure>> {
    for (const profile of sampleConsecutive(from, MAX_PEERS, this.#random)) {
      const snapshot = await this.#fetchFrom(kind, profile, signal);
      if (snapshot !== undefined) return ok(snapshot);
    }
    return fail("peer_unavailable", "no peer returned a snapshot");
  }

  close(): void {
    this.#calls.close();
  }

  /** Undefined if the instance returned no snapshot. */
  async #fetchFrom(
    kind: string,
    { digestAddress }: InstanceProfile,
    signal: AbortSignal,
  ): Promise<RelayedSnapshot | undefined> {
    try {
      const { status, body } = await this.#calls.call({
        ...splitAddress(snapshotAddress(digestAddress)),
        method: "GET",
        path: PATH_PREFIX + kind,
        timeoutMs: FETCH_TIMEOUT_MS,
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
  const areNumbers = [revision, changedAt, holdMs].every(Number.isFinite);
  return areNumbers && Array.isArray(objects) ? snapshot : undefined;
}
