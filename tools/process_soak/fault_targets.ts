/**
 * The targets of fault injection and the operations on them.
 *
 * @module
 */
import type { FakeEndpoint } from "../../platform/testing/fake_endpoint.ts";
import type { ObjectStoreServer } from "../../platform/testing/object_store_server.ts";
import type { Random } from "../../src/core/mod.ts";
import type { InstanceProcess } from "./instance_process.ts";
import type { PropertyChecker } from "./property_checker.ts";
import type { SoakOperators } from "./soak_operators.ts";
import type { TcpProxy } from "./tcp_proxy.ts";

/** An endpoint and the proxy in front of it. */
export interface SoakEndpoint {
  readonly fake: FakeEndpoint;
  readonly proxy: TcpProxy;
  disturbedAt: number;
  draining: boolean;
}

/** The interface of a run towards fault injection. */
export interface FaultTargets {
  readonly random: Random;
  readonly instances: readonly InstanceProcess[];
  /** The proxy from each instance to the store, in the order of `instances`. */
  readonly storeLinks: readonly TcpProxy[];
  readonly endpoints: readonly SoakEndpoint[];
  /** The proxies of all endpoints, also of those that no other fault hits. */
  readonly endpointLinks: readonly TcpProxy[];
  readonly store: ObjectStoreServer;
  readonly operators: SoakOperators;
  readonly checker: PropertyChecker;
  /** End of the latest store fault, in milliseconds since the epoch. */
  storeDisturbedAt: number;
  /** A random element; undefined if there is none. */
  pick<T>(from: readonly T[]): T | undefined;
  /** Starts an endpoint on the given port, or on a free one. */
  addEndpoint(service: string, port?: number): Promise<SoakEndpoint>;
  /** Writes an endpoint's current entry to the store. */
  register(endpoint: SoakEndpoint): void;
}
