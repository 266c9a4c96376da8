/**
 * Rate limits of endpoints as digests carry them: with their age instead of a
 * timestamp, since the clocks of instances differ.
 *
 * @module
 */
import { type BinaryReader, type BinaryWriter } from "@bufbuild/protobuf/wire";
import type { EndpointId } from "../core/mod.ts";
import type { ObservedLimit } from "../decisions/endpoint_limits/mod.ts";
import type { NameDictionary } from "./name_dictionary.ts";
import {
  readName,
  readSafeInteger,
  writeName,
  writeRows,
} from "./wire_rows.ts";

/** A limit and how long ago an endpoint stated it. */
export interface AgedLimit {
  /** Requests per second; undefined if the response stated no limit. */
  readonly ratePerS: number | undefined;
  readonly ageMs: number;
}

/** Limits by endpoint, with timestamps of this instance's clock. */
export type ObservedLimits = ReadonlyMap<EndpointId, ObservedLimit>;
/** Limits by endpoint, with ages, as sent in digests. */
export type AgedLimits = ReadonlyMap<EndpointId, AgedLimit>;

/** Encodes a response that stated no limit. */
const NO_LIMIT = -1;

/** Converts timestamps to ages, for sending. */
export function agedLimits(limits: ObservedLimits, now: number): AgedLimits {
  return mapValues(limits, ({ ratePerS, at }) => ({
    ratePerS,
    ageMs: Math.max(0, Math.round(now - at)),
  }));
}

/** Converts received ages to timestamps of this instance's clock. */
export function observedLimits(
  limits: AgedLimits,
  now: number,
): ObservedLimits {
  return mapValues(limits, ({ ratePerS, ageMs }) => ({
    ratePerS,
    at: now - ageMs,
  }));
}

/** Merges limits; the newest observation of each endpoint wins. */
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

export function writeLimits(
  out: BinaryWriter,
  limits: AgedLimits,
  { field, dictionary }: {
    readonly field: number;
    readonly dictionary: NameDictionary;
  },
): void {
  writeRows(out, field, limits, (endpoint, { ratePerS, ageMs }) => {
    writeName(out, endpoint, dictionary);
    out.double(ratePerS ?? NO_LIMIT).uint64(ageMs);
  });
}

/** Reads one row; undefined if the endpoint is unknown or the rate invalid. */
export function readLimit(
  rows: BinaryReader,
  dictionary: NameDictionary,
): [EndpointId, AgedLimit] | undefined {
  const endpoint = readName(rows, dictionary);
  const rate = rows.double();
  const ageMs = readSafeInteger(rows);
  const isRate = rate === NO_LIMIT || (Number.isFinite(rate) && rate >= 0);
  if (endpoint === undefined || !isRate) return undefined;
  const ratePerS = rate === NO_LIMIT ? undefined : rate;
  return [endpoint as EndpointId, { ratePerS, ageMs }];
}

/** Shared, since digests are frequent and mostly have no limits. */
const EMPTY: ReadonlyMap<EndpointId, never> = new Map<EndpointId, never>();

function mapValues<A, B>(
  limits: ReadonlyMap<EndpointId, A>,
  transform: (limit: A) => B,
): ReadonlyMap<EndpointId, B> {
  if (limits.size === 0) return EMPTY;
  return new Map([...limits].map(([id, limit]) => [id, transform(limit)]));
}
