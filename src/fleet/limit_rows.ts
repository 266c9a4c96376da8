/**
 * Limits of endpoints as digests carry them: with their age, since instances'
 * clocks do not agree.
 *
 * @module
 */
import { type BinaryReader, type BinaryWriter } from "@bufbuild/protobuf/wire";
import type { EndpointId } from "../core/mod.ts";
import type { ObservedLimit } from "../decisions/endpoint_limits/mod.ts";
import type { NameBook } from "./name_book.ts";
import { readName, readWhole, writeName, writeRows } from "./wire_rows.ts";

/** A limit as an answer named it some time ago. */
export interface AgedLimit {
  /** Requests a second; undefined where the answer named no limit. */
  readonly ratePerS: number | undefined;
  readonly ageMs: number;
}

/** Limits by endpoint, on the clock of one instance. */
export type ObservedLimits = ReadonlyMap<EndpointId, ObservedLimit>;
/** Limits by endpoint, as reported. */
export type AgedLimits = ReadonlyMap<EndpointId, AgedLimit>;

/** Stands for an answer that named no limit. */
const LIFTED = -1;

/** Limits as they are reported at this moment. */
export function agedLimits(limits: ObservedLimits, now: number): AgedLimits {
  return mapped(limits, ({ ratePerS, at }) => ({
    ratePerS,
    ageMs: Math.max(0, Math.round(now - at)),
  }));
}

/** Reported limits on the clock of this instance. */
export function observedLimits(
  limits: AgedLimits,
  now: number,
): ObservedLimits {
  return mapped(limits, ({ ratePerS, ageMs }) => ({
    ratePerS,
    at: now - ageMs,
  }));
}

/** The newest observation of each endpoint. */
export function newestLimits(all: Iterable<ObservedLimits>): ObservedLimits {
  const newest = new Map<EndpointId, ObservedLimit>();
  for (const limits of all) {
    for (const [id, limit] of limits) {
      const known = newest.get(id);
      if (known === undefined || limit.at > known.at) newest.set(id, limit);
    }
  }
  return newest;
}

/** Writes limits as one field. */
export function writeLimits(
  out: BinaryWriter,
  limits: AgedLimits,
  { field, book }: { readonly field: number; readonly book: NameBook },
): void {
  writeRows(out, field, limits, (endpoint, { ratePerS, ageMs }) => {
    writeName(out, endpoint, book);
    out.double(ratePerS ?? LIFTED).uint64(ageMs);
  });
}

/** Reads one row; undefined where the endpoint is not known or it is no rate. */
export function readLimit(
  rows: BinaryReader,
  book: NameBook,
): [EndpointId, AgedLimit] | undefined {
  const endpoint = readName(rows, book);
  const rate = rows.double();
  const ageMs = readWhole(rows);
  const isRate = rate === LIFTED || (Number.isFinite(rate) && rate >= 0);
  if (endpoint === undefined || !isRate) return undefined;
  const ratePerS = rate === LIFTED ? undefined : rate;
  return [endpoint as EndpointId, { ratePerS, ageMs }];
}

/** Most of the time no endpoint has a limit, and digests are many. */
const NO_LIMITS: ReadonlyMap<EndpointId, never> = new Map<EndpointId, never>();

function mapped<A, B>(
  limits: ReadonlyMap<EndpointId, A>,
  to: (limit: A) => B,
): ReadonlyMap<EndpointId, B> {
  if (limits.size === 0) return NO_LIMITS;
  return new Map([...limits].map(([id, limit]) => [id, to(limit)]));
}
