/**
 * Power of two random choices among endpoints with free slots.
 *
 * Handles uneven endpoints and many instances that decide independently. If
 * all chose the least loaded endpoint, they would choose the same one and load
 * would oscillate; a purely random choice leaves some endpoints full while
 * others are idle. The better of two avoids both (Mitzenmacher 2001).
 *
 * @module
 */
import type { EndpointId, Random } from "../../core/mod.ts";
import {
  decayedLatencyRatio,
  type EndpointRow,
  freeSlots,
  type LoadHint,
  slowStartFactor,
} from "./endpoint_row.ts";

/** Random draws before falling back to a scan of all rows. */
const MAX_DRAWS = 6;
/** The weight of a hint falls linearly to zero over this time. */
const HINT_TTL_MS = 3_000;
/** Largest cost increase by a hint, which bounds the effect of a wrong one. */
const MAX_HINT_PENALTY = 0.5;

/** Restrictions on the choice. */
export interface ChoiceCriteria {
  readonly exclude: ReadonlySet<EndpointId> | undefined;
  readonly now: number;
}

/** The cheaper of two random rows with free slots; undefined without any. */
export function chooseEndpoint(
  rows: readonly EndpointRow[],
  criteria: ChoiceCriteria,
  random: Random,
): EndpointRow | undefined {
  const first = draw(rows, criteria, random);
  if (first === undefined) return cheapest(rows, criteria);
  const second = draw(rows, criteria, random) ?? first;
  const { now } = criteria;
  return cost(first, now) <= cost(second, now) ? first : second;
}

function draw(
  rows: readonly EndpointRow[],
  criteria: ChoiceCriteria,
  random: Random,
): EndpointRow | undefined {
  if (rows.length === 0) return undefined;
  for (let i = 0; i < MAX_DRAWS; i++) {
    const row = rows[random.below(rows.length)];
    if (row && isEligible(row, criteria)) return row;
  }
  return undefined;
}

function cheapest(
  rows: readonly EndpointRow[],
  criteria: ChoiceCriteria,
): EndpointRow | undefined {
  const { now } = criteria;
  let best: EndpointRow | undefined;
  for (const row of rows) {
    if (!isEligible(row, criteria)) continue;
    if (best === undefined || cost(row, now) < cost(best, now)) best = row;
  }
  return best;
}

function isEligible(
  row: EndpointRow,
  { exclude, now }: ChoiceCriteria,
): boolean {
  return !exclude?.has(row.id) && freeSlots(row, now) > 0;
}

/** Relative cost of a row from its load, latency, slow start and load hint. */
function cost(row: EndpointRow, now: number): number {
  const load = (row.inFlight + 1) / Math.max(1, row.slotLimit);
  return load * decayedLatencyRatio(row, now) / slowStartFactor(row, now) *
    hintFactor(row, now);
}

function hintFactor(row: EndpointRow, now: number): number {
  const { hint } = row;
  if (hint === undefined) return 1;
  const trust = Math.max(0, 1 - (now - hint.at) / HINT_TTL_MS);
  return 1 + MAX_HINT_PENALTY * trust * hintSeverity(hint, row.entry.slots);
}

function hintSeverity(hint: LoadHint, slots: number): number {
  if (!hint.reachable) return 1;
  return Math.min(1, (hint.inFlight ?? 0) / slots);
}
