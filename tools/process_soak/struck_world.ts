/**
 * What faults strike: the parts of a run, and what they can do with them.
 *
 * @module
 */
import type { FakeEndpoint } from "../../platform/testing/fake_endpoint.ts";
import type { ObjectStoreServer } from "../../platform/testing/object_store_server.ts";
import type { Random } from "../../src/core/mod.ts";
import type { InstanceProcess } from "./instance_process.ts";
import type { Promises } from "./promises.ts";
import type { SoakOperators } from "./soak_operators.ts";
import type { TcpProxy } from "./tcp_proxy.ts";

/** An endpoint with the link before it. */
export interface SoakEndpoint {
  readonly stand: FakeEndpoint;
  readonly proxy: TcpProxy;
  disturbedAt: number;
  draining: boolean;
}

/** A run as faults see it. */
export interface StruckWorld {
  readonly random: Random;
  readonly instances: readonly InstanceProcess[];
  /** The way of each instance to the store, in the same order. */
  readonly storeLinks: readonly TcpProxy[];
  readonly endpoints: readonly SoakEndpoint[];
  readonly store: ObjectStoreServer;
  readonly operators: SoakOperators;
  readonly promises: Promises;
  /** Until when the store is disturbed, in milliseconds since the epoch. */
  storeDisturbedAt: number;
  /** Any one of these; undefined of none. */
  pick<T>(from: readonly T[]): T | undefined;
  /** Starts an endpoint; on a port that another had, if one is given. */
  addEndpoint(service: string, port?: number): Promise<SoakEndpoint>;
  /** Writes an endpoint's entry as it now is. */
  register(endpoint: SoakEndpoint): void;
}
