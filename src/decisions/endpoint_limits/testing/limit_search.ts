/**
 * A search for demand, limits, delays of reports and restarts that let the
 * instances of a fleet send more to an endpoint than it takes.
 *
 * @module
 */
import * as fc from "fast-check";
import { LimitFleet, type LimitMember, reportDelayMs } from "./limit_fleet.ts";

/** What happens to a fleet. */
export type LimitEvent =
  /** Demand over the limit at some of the instances, in turn or all alike. */
  | {
    readonly kind: "demand";
    readonly times: number;
    readonly everyNth: number;
  }
  | { readonly kind: "limit"; readonly ratePerS: number }
  /** Time from a report to its arrival. */
  | { readonly kind: "delay"; readonly ms: number }
  | {
    readonly kind: "restart";
    readonly part: number;
    readonly listAfterMs: number;
  }
  | { readonly kind: "wait" };

/** Events, and how long each one lasts. */
export type LimitCourse = readonly {
  readonly event: LimitEvent;
  readonly forMs: number;
}[];

const RATES = [0.8, 2, 5.2, 20];
/** Demand over the limit: usual values, and any rise. */
const TIMES = [0, 0.3, 1, 3, 8, 20, 60, 200];

const EVENT: fc.Arbitrary<LimitEvent> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant("demand" as const),
      times: fc.constantFrom(...TIMES),
      everyNth: fc.constantFrom(1, 3, 8),
    }),
  },
  fc.record({
    kind: fc.constant("limit" as const),
    ratePerS: fc.constantFrom(...RATES),
  }),
  fc.record({
    kind: fc.constant("delay" as const),
    ms: fc.integer({ min: 20, max: 2_500 }),
  }),
  fc.record({
    kind: fc.constant("restart" as const),
    part: fc.constantFrom(0.1, 0.5, 1),
    listAfterMs: fc.constantFrom(0, 1_000, 4_000),
  }),
  fc.constant({ kind: "wait" as const }),
);

/** Courses of events. */
export const COURSES: fc.Arbitrary<LimitCourse> = fc.array(
  fc.record({
    event: EVENT,
    forMs: fc.constantFrom(200, 700, 1_500, 4_000),
  }),
  { minLength: 2, maxLength: 12 },
);

/** Parameters of a fleet that a course is played on. */
export interface SearchedFleet {
  readonly size: number;
  readonly ratePerS: number;
  readonly seed: number;
}

/** Fleets of all sizes for which limits are designed, and limits. */
export const SEARCHED_FLEETS: fc.Arbitrary<SearchedFleet> = fc.record({
  size: fc.constantFrom(12, 27, 48, 72),
  ratePerS: fc.constantFrom(...RATES),
  seed: fc.integer({ min: 1, max: 1_000 }),
});

/** Plays a course; returns the fullest window over what it may hold. */
export function playCourse(
  course: LimitCourse,
  { size, ratePerS, seed }: SearchedFleet,
): number {
  const gossipDelayMs = reportDelayMs(size);
  const fleet = new LimitFleet({ size, ratePerS, gossipDelayMs, seed });
  let demand = demandOf(fleet, 1, 1);
  fleet.run(4_000, demand);
  for (const { event, forMs } of course) {
    switch (event.kind) {
      case "demand":
        demand = demandOf(fleet, event.times, event.everyNth);
        break;
      case "limit":
        fleet.ratePerS = event.ratePerS;
        break;
      case "delay":
        fleet.gossipDelayMs = event.ms;
        break;
      case "restart":
        for (const member of fleet.members.slice(0, event.part * size)) {
          fleet.restart(member, event.listAfterMs);
        }
        break;
      case "wait":
        break;
    }
    fleet.run(forMs, demand);
  }
  return fleet.fullest;
}

function demandOf(
  fleet: LimitFleet,
  times: number,
  everyNth: number,
): (member: LimitMember) => number {
  const perS = times * fleet.ratePerS;
  const receiving = Math.ceil(fleet.members.length / everyNth);
  return ({ index }) => index % everyNth === 0 ? perS / receiving : 0;
}
