/**
 * Interface of the store for one resource type, and of its handlers.
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { Failure } from "../core/mod.ts";

/** One object, decoded. */
export interface StoredEntry<T> {
  readonly name: string;
  /** The store's revision of its last change. */
  readonly revision: number;
  /** Undefined where it cannot be read. */
  readonly value: T | undefined;
  /** As it came, to be passed on to other instances. */
  readonly raw: unknown;
}

/** All objects of the kind at one revision of the store. */
export interface Snapshot<T> {
  readonly entries: readonly StoredEntry<T>[];
  readonly revision: number;
}

/** What happened to one object. */
export interface StoredChange<T> {
  readonly entry: StoredEntry<T>;
  readonly deleted: boolean;
}

/** What happened since a revision. */
export interface Changes<T> {
  readonly changes: readonly StoredChange<T>[];
  readonly revision: number;
}

/**
 * One kind of object in the store.
 *
 * Failures: `history_lost` (changes since the revision cannot be had any more),
 * `platform_unavailable`, `rate_exceeded`.
 */
export interface ResourceClient<T> {
  list(signal: AbortSignal): Promise<Result<Snapshot<T>, Failure>>;
  /** Waits until something changes after `revision`, `waitMs` at most. */
  watch(
    revision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<Changes<T>, Failure>>;
  /** Reads an object that another instance passed on; undefined if it is none. */
  read(raw: unknown): StoredEntry<T> | undefined;
}

/** Takes what a watcher learns. */
export interface ResourceHandler<T> {
  /** These are all objects there are. */
  replaced(entries: readonly StoredEntry<T>[]): void;
  changed(entry: StoredEntry<T>): void;
  deleted(name: string): void;
  /** The store does not answer, or answers again. */
  contact(inTouch: boolean): void;
  /** How long what is deleted now may still come back, in milliseconds. */
  holdMs?(): number;
  /** Another instance says that what is deleted now may come back so long. */
  holdDeleted?(forMs: number): void;
}
