/**
 * Instance profiles and digests for tests.
 *
 * @module
 */
import type { InstanceId, RegionId, ZoneId } from "../../core/mod.ts";
import type { Digest, InstanceProfile } from "../mod.ts";

/** Profile of an instance in zone `a` of a region. */
export function profile(id: string, region = "gulf"): InstanceProfile {
  return {
    id: id as InstanceId,
    zone: `${region}-a` as ZoneId,
    region: region as RegionId,
    callerAddress: `${id}:80`,
    digestAddress: `${id}:70`,
  };
}

/** Digest of a serving instance. */
export function digest(id: string, opts: Partial<Digest> = {}): Digest {
  return {
    profile: profile(id),
    state: "serving",
    start: "s1",
    seq: 1,
    planVersion: 7,
    storeInTouch: true,
    isStoreWatcher: true,
    relays: false,
    capacity: 0.5,
    changes: new Map(),
    uses: new Map(),
    inFlight: new Map(),
    limits: new Map(),
    otherProfiles: [],
    ...opts,
  };
}
