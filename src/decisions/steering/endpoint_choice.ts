/**
 * Power of two choices among endpoints with room.
 *
 * Answers uneven endpoints and many instances deciding at once. Always taking
 * the least loaded makes all instances take the same one, which shows as load
 * that swings between endpoints; taking any at random leaves some full while
 * others idle. The better of two random ones avoids both (Mitzenmacher 2001).
 *
 * @module
 */
import type { EndpointId, Random } from "../../core/mod.ts";
import {
  type EndpointRow,
  type LoadHint,
  room,
  stretchNow,
  warmth,
} from "./endpoint_row.ts";

/** Random draws before all rows are looked at. */
const DRAWS = 6;
/** A hint older than this, in milliseconds, says nothing any more. */
const HINT_LIFE_MS = 3_000;
/** A hint that lies can make an endpoint look this much worse, no more. */
const HINT_WEIGHT = 0.5;

/** What a choice is made for. */
export interface ChoiceQuestion {
  readonly exclude: ReadonlySet<EndpointId> | undefined;
  readonly now: number;
}

/** The better of two random rows with room; undefined if there is none. */
export function chooseEndpoint(
  rows: readonly EndpointRow[],
  question: ChoiceQuestion,
  random: Random,
): EndpointRow | undefined {
  const first = draw(rows, question, random);
  if (first === undefined) return anyWithRoom(rows, question);
  const second = draw(rows, question, random) ?? first;
  const { now } = question;
  return cost(first, now) <= cost(second, now) ? first : second;
}

function draw(
  rows: readonly EndpointRow[],
  question: ChoiceQuestion,
  random: Random,
): EndpointRow | undefined {
  if (rows.length === 0) return undefined;
  for (let i = 0; i < DRAWS; i++) {
    const row = rows[random.below(rows.length)];
    if (row && usable(row, question)) return row;
  }
  return undefined;
}

function anyWithRoom(
  rows: readonly EndpointRow[],
  question: ChoiceQuestion,
): EndpointRow | undefined {
  const { now } = question;
  let best: EndpointRow | undefined;
  for (const row of rows) {
    if (!usable(row, question)) continue;
    if (best === undefined || cost(row, now) < cost(best, now)) best = row;
  }
  return best;
}

function usable(row: EndpointRow, { exclude, now }: ChoiceQuestion): boolean {
  return !exclude?.has(row.id) && room(row, now) > 0;
}

/** Expected time at the row: its load, slowness, warmth and what it reports. */
function cost(row: EndpointRow, now: number): number {
  const load = (row.inFlight + 1) / Math.max(1, row.slotLimit);
  return load * stretchNow(row, now) / warmth(row, now) * hinted(row, now);
}

function hinted(row: EndpointRow, now: number): number {
  const { hint } = row;
  if (hint === undefined) return 1;
  const trust = Math.max(0, 1 - (now - hint.at) / HINT_LIFE_MS);
  return 1 + HINT_WEIGHT * trust * badness(hint, row.entry.slots);
}

function badness(hint: LoadHint, slots: number): number {
  if (!hint.reachable) return 1;
  return Math.min(1, (hint.inFlight ?? 0) / slots);
}
