/**
 * Fault injection into the processes, their links, the store and the endpoints.
 * Faults may overlap. Timed faults end by themselves, and a killed instance is
 * restarted; a crashed endpoint stays down.
 *
 * @module
 */
import { KINDS } from "../../platform/names.ts";
import type { StoreFaults } from "../../platform/testing/object_store_server.ts";
import type { EndpointFaults } from "../../platform/testing/fake_endpoint.ts";
import type { FaultTargets, SoakEndpoint } from "./fault_targets.ts";
import type { CutMode, LinkMode } from "./tcp_proxy.ts";

/** Kinds of fault. */
export const FAULTS = [
  "kill",
  "kill all",
  "stop",
  "stop in turn",
  "freeze",
  "store link",
  "store down",
  "store silent",
  "store loses answers",
  "store forgets",
  "endpoint crash",
  "endpoint drain",
  "endpoint answers",
  "endpoint link",
  "endpoint in need",
  "endpoint backoff",
  "endpoint leaving",
  "plan",
  "withdraw",
  "cut reset",
  "cut silent",
  "cut live",
] as const;

/** A kind of fault. */
export type FaultName = typeof FAULTS[number];

const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 3_000;
/** Interval of a rolling restart: somewhat longer than one restart. */
const ROLLING_STOP_INTERVAL_MS = 1_500;
/** Time from an endpoint's drain to the removal of its entry. */
const DRAIN_MS = 3_500;
const MIN_ENDPOINTS = 3;
/** Duration of an announced rate limit, its minimum and its random spread. */
const LIMIT_DURATION_MS = 9_000;
const MIN_LIMIT_PER_S = 2;
const LIMIT_SPREAD_PER_S = 5;
/** How long an endpoint refuses requests, and the spread of its Retry-After. */
const BACKOFF_DURATION_MS = 4_000;
const MAX_RETRY_AFTER_S = 3;
/** Time from the announcement of an endpoint's leaving to its end. */
const LEAVING_MS = 6_000;

/** Duration of a cut from the endpoints, its minimum and its random spread. */
const MIN_CUT_MS = 5_000;
const CUT_SPREAD_MS = 3_000;

/** Injects a fault; returns its target for the trace. */
export function injectFault(
  world: FaultTargets,
  name: FaultName,
): string | Promise<string> {
  const instance = world.pick(world.instances)!;
  const forMs = MIN_FAULT_MS + world.random.below(MAX_FAULT_MS - MIN_FAULT_MS);
  switch (name) {
    case "kill":
      instance.kill();
      return instance.opts.id;
    case "kill all":
      for (const each of world.instances) each.kill();
      return "all";
    case "stop":
      instance.stop();
      return instance.opts.id;
    case "stop in turn":
      world.instances.forEach((each, i) => {
        setTimeout(() => each.stop(), i * ROLLING_STOP_INTERVAL_MS);
      });
      return "all";
    case "freeze":
      instance.freeze(forMs);
      return `${instance.opts.id} for ${forMs} ms`;
    case "store link":
      return injectStoreLinkFault(world, forMs);
    case "store down":
      return injectStoreFault(world, { status: 503 }, forMs);
    case "store silent":
      return injectStoreFault(world, { silent: true }, forMs);
    case "store loses answers":
      return injectStoreFault(world, { loseAnswers: true }, forMs);
    case "store forgets":
      world.storeDisturbedAt = Date.now();
      world.store.dropHistory();
      return "its history";
    case "endpoint crash":
      return crashEndpoint(world);
    case "endpoint drain":
      return drainEndpoint(world);
    case "endpoint answers":
      return injectResponseFault(world, forMs);
    case "endpoint link":
      return injectEndpointLinkFault(world, forMs);
    case "endpoint in need":
      return announceLimit(world);
    case "endpoint backoff":
      return requestBackoff(world);
    case "endpoint leaving":
      return announceLeaving(world);
    case "plan":
      return world.operators.newPlan();
    case "withdraw":
      return world.operators.withdrawKey();
    case "cut reset":
      return cutFromEndpoints(world, "reset");
    case "cut silent":
      return cutFromEndpoints(world, "silent");
    case "cut live":
      return cutFromEndpoints(world, "live");
  }
}

/** Makes an endpoint announce a fleet-wide rate limit in its responses. */
function announceLimit(world: FaultTargets): string {
  const endpoint = world.pick(servingEndpoints(world));
  if (endpoint === undefined) return "none";
  const { fake } = endpoint;
  const { id } = fake.opts;
  if (fake.limitPerS !== undefined) return `${id} has one`;
  fake.limitPerS = MIN_LIMIT_PER_S + world.random.below(LIMIT_SPREAD_PER_S);
  world.checker.limited(id, fake.limitPerS);
  setTimeout(() => {
    fake.limitPerS = undefined;
    world.checker.limited(id, undefined);
  }, LIMIT_DURATION_MS);
  return `${id} takes ${fake.limitPerS} a second for ${LIMIT_DURATION_MS} ms`;
}

/** Makes an endpoint refuse its requests with a Retry-After. */
function requestBackoff(world: FaultTargets): string {
  const endpoint = world.pick(servingEndpoints(world));
  if (endpoint === undefined) return "none";
  const { fake } = endpoint;
  const { id } = fake.opts;
  if (fake.retryAfterS !== undefined) return `${id} refuses already`;
  fake.retryAfterS = 1 + world.random.below(MAX_RETRY_AFTER_S);
  const trace =
    `${id} asks for ${fake.retryAfterS} s for ${BACKOFF_DURATION_MS} ms`;
  setTimeout(() => fake.retryAfterS = undefined, BACKOFF_DURATION_MS);
  return trace;
}

/**
 * Makes an endpoint announce its leaving in its responses only; its entry stays
 * `ready` until it ends.
 */
async function announceLeaving(world: FaultTargets): Promise<string> {
  const endpoint = pickSpareEndpoint(world);
  if (endpoint === undefined) return "none to spare";
  endpoint.draining = true;
  endpoint.fake.leaving = true;
  const { id, service } = endpoint.fake.opts;
  setTimeout(() => {
    world.store.remove(KINDS.endpoints, id);
    endpoint.disturbedAt = Infinity;
    void endpoint.fake.close();
  }, LEAVING_MS);
  await world.addEndpoint(service);
  return id;
}

/** Cuts one instance, those of a zone, or half of all from all endpoints. */
function cutFromEndpoints(world: FaultTargets, mode: CutMode): string {
  const { instances } = world;
  const first = world.pick(instances)!;
  const chosen = world.pick([
    [first],
    instances.filter(({ opts }) => opts.zone === first.opts.zone),
    instances.filter((_, i) => i % 2 === instances.indexOf(first) % 2),
  ])!;
  const now = Date.now();
  const cut = chosen.filter(({ cutUntil }) => cutUntil < now);
  if (cut.length === 0 || cut.length === instances.length) return "none";
  const forMs = MIN_CUT_MS + world.random.below(CUT_SPREAD_MS);
  for (const instance of cut) {
    instance.cutUntil = now + forMs;
    instance.cutMode = mode;
    for (const proxy of world.endpointLinks) {
      proxy.cutOff(instance.opts.host, mode);
    }
  }
  const ids = cut.map(({ opts }) => opts.id);
  world.checker.cutOff(ids, now + forMs);
  setTimeout(() => {
    for (const proxy of world.endpointLinks) {
      for (const { opts } of cut) proxy.restore(opts.host);
    }
  }, forMs);
  return `${ids} ${mode} for ${forMs} ms`;
}

function randomLinkMode(world: FaultTargets): LinkMode {
  return world.pick<LinkMode>([
    { kind: "delay", ms: 200 },
    { kind: "reset" },
    { kind: "silent" },
    { kind: "one-way" },
  ]) ?? { kind: "reset" };
}

function injectStoreLinkFault(world: FaultTargets, forMs: number): string {
  const i = world.random.below(world.instances.length);
  const [link, instance] = [world.storeLinks[i]!, world.instances[i]!];
  const mode = randomLinkMode(world);
  instance.markDisturbedUntil(Date.now() + forMs);
  link.setMode(mode);
  setTimeout(() => link.setMode({ kind: "open" }), forMs);
  return `${instance.opts.id} ${mode.kind} for ${forMs} ms`;
}

function injectStoreFault(
  world: FaultTargets,
  faults: StoreFaults,
  forMs: number,
): string {
  world.storeDisturbedAt = Date.now() + forMs;
  Object.assign(world.store.faults, faults);
  setTimeout(() => {
    for (const name of Object.keys(faults)) {
      delete world.store.faults[name as keyof StoreFaults];
    }
  }, forMs);
  return `for ${forMs} ms`;
}

function servingEndpoints(world: FaultTargets): SoakEndpoint[] {
  return world.endpoints.filter((e) => !e.draining);
}

/** Picks an endpoint of a service that has more than the minimum. */
function pickSpareEndpoint(world: FaultTargets): SoakEndpoint | undefined {
  const all = servingEndpoints(world);
  const enough = all.filter(({ fake }) => {
    const { service } = fake.opts;
    const of = all.filter((e) => e.fake.opts.service === service);
    return of.length > MIN_ENDPOINTS;
  });
  return world.pick(enough);
}

/** Crashes an endpoint; one of the other service reuses its port if free. */
async function crashEndpoint(world: FaultTargets): Promise<string> {
  const endpoint = pickSpareEndpoint(world);
  if (endpoint === undefined) return "none to spare";
  const { fake } = endpoint;
  const { id, service } = fake.opts;
  const { port } = fake;
  endpoint.disturbedAt = Infinity;
  endpoint.draining = true;
  await fake.close();
  setTimeout(() => world.store.remove(KINDS.endpoints, id), MAX_FAULT_MS);
  const other = service === "reads" ? "writes" : "reads";
  await world.addEndpoint(other, port).catch(() => world.addEndpoint(other));
  return `${id}, its port to ${other}`;
}

/** Drains and replaces an endpoint, and later removes its entry. */
async function drainEndpoint(world: FaultTargets): Promise<string> {
  const endpoint = pickSpareEndpoint(world);
  if (endpoint === undefined) return "none to spare";
  endpoint.draining = true;
  world.register(endpoint);
  const { id, service } = endpoint.fake.opts;
  setTimeout(() => world.store.remove(KINDS.endpoints, id), DRAIN_MS);
  await world.addEndpoint(service);
  return id;
}

function injectResponseFault(world: FaultTargets, forMs: number): string {
  const endpoint = world.pick(servingEndpoints(world));
  if (endpoint === undefined) return "none";
  const fault = world.pick<keyof EndpointFaults>(
    ["lose", "cut", "extra", "foreign"],
  ) ?? "lose";
  endpoint.disturbedAt = Date.now() + forMs;
  endpoint.fake.faults[fault] = 0.3;
  setTimeout(() => endpoint.fake.faults[fault] = 0, forMs);
  return `${endpoint.fake.opts.id} ${fault} for ${forMs} ms`;
}

function injectEndpointLinkFault(world: FaultTargets, forMs: number): string {
  const endpoint = world.pick(servingEndpoints(world));
  if (endpoint === undefined) return "none";
  const mode = randomLinkMode(world);
  endpoint.disturbedAt = Date.now() + forMs;
  endpoint.proxy.setMode(mode);
  setTimeout(() => endpoint.proxy.setMode({ kind: "open" }), forMs);
  return `${endpoint.fake.opts.id} ${mode.kind} for ${forMs} ms`;
}
