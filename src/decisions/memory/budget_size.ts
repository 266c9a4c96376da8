/**
 * The size of an instance's budget for buffers.
 *
 * @module
 */

const BYTES_PER_MB = 1_000_000;
/** Memory of a process under load without buffered bodies. */
const PROCESS_BYTES = 130 * BYTES_PER_MB;
/**
 * Share of the rest. Buffers that are released stay resident until the next
 * garbage collection, and so do the chunks of which a body arrives: with 0.4, a
 * process with a limit of 250 MB reached 206 MB with its budget full.
 */
const BUFFER_SHARE = 0.35;
/** Share of the limit on machines with little more than the process needs. */
const MIN_SHARE = 0.05;
/** Share of V8's heap limit that buffers outside it may take by default. */
const DEFAULT_SHARE_OF_HEAP = 0.5;

/**
 * Bytes for buffers of a process with this memory limit. Without one, V8's heap
 * limit shows what the process is meant to use.
 *
 * @example
 * ```ts
 * bufferBytes(250_000_000, heapLimitBytes); // 42 MB
 * ```
 */
export function bufferBytes(
  memoryBytes: number | undefined,
  heapLimitBytes: number,
): number {
  if (memoryBytes === undefined) return heapLimitBytes * DEFAULT_SHARE_OF_HEAP;
  return Math.max(
    memoryBytes * MIN_SHARE,
    (memoryBytes - PROCESS_BYTES) * BUFFER_SHARE,
  );
}
