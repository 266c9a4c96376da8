/**
 * Gives a leaver's records to a peer, so that retries of its operations find
 * them after it is gone.
 *
 * @module
 */
import { copyEntry } from "./codec.ts";
import type { Place } from "./home_token.ts";
import type { Ledger } from "./ledger.ts";
import type { KnownPlace, PlaceTable, Vicinity } from "./places.ts";
import type { SettleQueue } from "./settle_queue.ts";

/** What a handover needs. */
export interface HandoverDeps {
  readonly self: Place & Vicinity;
  readonly ledger: Ledger;
  readonly places: PlaceTable;
  readonly queue: SettleQueue;
}

const MAX_HEIRS_TRIED = 3;
/** Records that are under way at a time; the queue batches them. */
const WINDOW = 512;

/**
 * Copies every record to one peer; undefined if none took them all. A peer
 * that took a part is not named as heir, since "no record" of it would be
 * taken for "not run".
 */
export async function handOver(
  deps: HandoverDeps,
): Promise<Place | undefined> {
  const candidates = deps.places.candidates(deps.self);
  for (const place of candidates.slice(0, MAX_HEIRS_TRIED)) {
    if (await copyAll(deps, place)) {
      return { instance: place.instance, incarnation: place.incarnation };
    }
  }
  return undefined;
}

async function copyAll(
  { ledger, queue }: HandoverDeps,
  place: KnownPlace,
): Promise<boolean> {
  const records = [...ledger.records()];
  for (let i = 0; i < records.length; i += WINDOW) {
    const part = records.slice(i, i + WINDOW);
    const sent = await Promise.all(
      part.map((record) => queue.send(place, copyEntry(record))),
    );
    if (!sent.every((s) => s.isOk() && s.value.result.accepted)) return false;
  }
  return true;
}
