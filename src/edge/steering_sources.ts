/**
 * Where an instance learns what to steer by.
 *
 * @module
 */
import type { KindSource } from "../follower/mod.ts";
import type { EndpointRecord, TrafficPlan } from "../traffic/mod.ts";
import type { InstanceList } from "./instance_list.ts";

/** Kinds of object in the store, and the list of instances. */
export interface SteeringSources {
  readonly plans: KindSource<TrafficPlan>;
  readonly endpoints: KindSource<EndpointRecord>;
  readonly evacuations: KindSource<true>;
  readonly instances: InstanceList;
}
