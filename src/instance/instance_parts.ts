/**
 * Parts of an instance that may be handed in as classes of their own: the
 * plain baselines, or one with a planted fault, to see that checks catch it.
 *
 * @module
 */
import { LeasedSeats, type LeasedSeatsDeps } from "../membership/mod.ts";
import type { OperationRunner, Operations } from "../operations/mod.ts";
import {
  DocumentFollower,
  type DocumentFollowerDeps,
} from "./document_follower.ts";

/** Classes that replace those of the library. */
export interface InstanceParts {
  readonly seats?: new (deps: LeasedSeatsDeps) => LeasedSeats;
  readonly follower?: new (deps: DocumentFollowerDeps) => DocumentFollower;
  readonly operations?: new (runner: OperationRunner) => Operations;
}

/** Makes seats, by the class that was handed in. */
export function makeSeats(
  parts: InstanceParts | undefined,
  deps: LeasedSeatsDeps,
): LeasedSeats {
  return new (parts?.seats ?? LeasedSeats)(deps);
}

/** Makes a follower, by the class that was handed in. */
export function makeFollower(
  parts: InstanceParts | undefined,
  deps: DocumentFollowerDeps,
): DocumentFollower {
  return new (parts?.follower ?? DocumentFollower)(deps);
}
