/**
 * Sources of the resources that an instance steers by.
 *
 * @module
 */
import type { ResourceClient } from "../watcher/mod.ts";
import type { EndpointRecord, TrafficPlan } from "../traffic/mod.ts";
import type { InstanceList } from "./instance_list.ts";

/** Clients for the resource kinds in the store, and the instance list. */
export interface SteeringSources {
  readonly plans: ResourceClient<TrafficPlan>;
  readonly endpoints: ResourceClient<EndpointRecord>;
  readonly evacuations: ResourceClient<true>;
  readonly instances: InstanceList;
}
