/**
 * The memory of the process as the system and the runtime report it.
 *
 * @module
 */

/** One sample, in bytes. */
export interface ProcessMemory {
  /** Resident set: what a memory limit applies to. */
  readonly resident: number;
  /** The runtime's heap, used or not. */
  readonly heap: number;
  /** Buffers outside the heap, also released ones that are not yet collected. */
  readonly buffers: number;
}
