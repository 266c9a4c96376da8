/**
 * Component classes of an instance that tests can replace, with a baseline or
 * with one that has an injected fault, to prove that checks detect it.
 *
 * @module
 */
import { LeasedSeats, type LeasedSeatsDeps } from "../membership/mod.ts";
import type { OperationRunner, Operations } from "../operations/mod.ts";
import {
  DocumentFollower,
  type DocumentFollowerDeps,
} from "./document_follower.ts";

/** Classes that replace the default ones. */
export interface ComponentOverrides {
  readonly seats?: new (deps: LeasedSeatsDeps) => LeasedSeats;
  readonly follower?: new (deps: DocumentFollowerDeps) => DocumentFollower;
  readonly operations?: new (runner: OperationRunner) => Operations;
}

export function createSeats(
  parts: ComponentOverrides | undefined,
  deps: LeasedSeatsDeps,
): LeasedSeats {
  return new (parts?.seats ?? LeasedSeats)(deps);
}

export function createFollower(
  parts: ComponentOverrides | undefined,
  deps: DocumentFollowerDeps,
): DocumentFollower {
  return new (parts?.follower ?? DocumentFollower)(deps);
}
