/**
 * Messages in which instances relay store objects and changes to each other.
 *
 * @module
 */

/** One change, as the store returned it. */
export interface RelayedChange {
  readonly raw: unknown;
  readonly deleted: boolean;
}

/** Changes of one kind that follow one another without a gap. */
export interface RelayedChanges {
  readonly kind: string;
  /** Contains all changes after this revision of the store, */
  readonly after: number;
  /** up to this one. */
  readonly upTo: number;
  /** Undefined if too many for one message; the receiver then fetches them. */
  readonly changes: readonly RelayedChange[] | undefined;
  /** How long deleted objects may still reappear, in milliseconds. */
  readonly holdMs: number;
}

/** All objects of a kind that an instance holds. */
export interface RelayedSnapshot {
  /** Includes every change up to this revision of the store. */
  readonly revision: number;
  /** Revision of the last known change. */
  readonly changedAt: number;
  readonly objects: readonly unknown[];
  /** How long missing objects may still reappear, in milliseconds. */
  readonly holdMs: number;
}
