/**
 * What instances pass on to each other of what they read in the store.
 *
 * @module
 */

/** One change, as the store told it. */
export interface RelayedChange {
  readonly raw: unknown;
  readonly deleted: boolean;
}

/** Changes of one kind that follow one another without a gap. */
export interface RelayedChanges {
  readonly kind: string;
  /** All changes after this revision of the store are in here, */
  readonly after: number;
  /** up to this one. */
  readonly upTo: number;
  /** Undefined where they are too many for one message: they can be fetched. */
  readonly changes: readonly RelayedChange[] | undefined;
  /** How long what is deleted may still come back, in milliseconds. */
  readonly holdMs: number;
}

/** All objects of a kind as an instance knows them. */
export interface RelayedSnapshot {
  /** Every change up to this revision of the store is in here. */
  readonly revision: number;
  /** The last change that is known; others may know of it too. */
  readonly changedAt: number;
  readonly objects: readonly unknown[];
  /** How long what is missing may still come back, in milliseconds. */
  readonly holdMs: number;
}
