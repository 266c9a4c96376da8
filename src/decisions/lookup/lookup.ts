/**
 * Which entry instance a caller should use.
 *
 * @module
 */
import type { InstanceId, Random, RegionId, ZoneId } from "../../core/mod.ts";

/** An entry instance that callers may be sent to. */
export interface EntryChoice {
  readonly instance: InstanceId;
  readonly url: string;
  readonly zone: ZoneId;
  readonly region: RegionId;
}

/** What the answer depends on. */
export interface LookupQuestion {
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly candidates: readonly EntryChoice[];
}

/** How many instances an answer names at most. */
export const MAX_CHOICES = 4;

/**
 * Orders instances for a caller: its zone first, then its region, then the
 * rest, each group shuffled so that callers spread.
 *
 * @example
 * ```ts
 * const choices = chooseEntries({ zone, region, candidates }, random);
 * ```
 */
export function chooseEntries(
  question: LookupQuestion,
  random: Random,
): EntryChoice[] {
  return question.candidates
    .map((choice) => ({
      choice,
      distance: distance(question, choice),
      tie: random.next(),
    }))
    .sort((a, b) => a.distance - b.distance || a.tie - b.tie)
    .slice(0, MAX_CHOICES)
    .map((c) => c.choice);
}

function distance(question: LookupQuestion, choice: EntryChoice): number {
  if (choice.zone === question.zone) return 0;
  return choice.region === question.region ? 1 : 2;
}
