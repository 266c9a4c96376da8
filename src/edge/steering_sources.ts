/**
 * Where an instance learns what to steer by.
 *
 * @module
 */
import type { ResourceClient } from "../watcher/mod.ts";
import type { EndpointRecord, TrafficPlan } from "../traffic/mod.ts";
import type { InstanceList } from "./instance_list.ts";

/** Kinds of object in the store, and the list of instances. */
export interface SteeringSources {
  readonly plans: ResourceClient<TrafficPlan>;
  readonly endpoints: ResourceClient<EndpointRecord>;
  readonly evacuations: ResourceClient<true>;
  readonly instances: InstanceList;
}
