/**
 * What strikes the processes, their links, the store and the endpoints. Faults
 * come in series and overlap; each but a crash mends by itself.
 *
 * @module
 */
import { KINDS } from "../../platform/names.ts";
import type { StoreFaults } from "../../platform/testing/object_store_server.ts";
import type { EndpointFaults } from "../../platform/testing/fake_endpoint.ts";
import type { SoakEndpoint, StruckWorld } from "./struck_world.ts";
import type { LinkMode } from "./tcp_proxy.ts";

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
  "plan",
  "withdraw",
] as const;

/** A kind of fault. */
export type FaultName = typeof FAULTS[number];

const SHORTEST_MS = 300;
const LONGEST_MS = 3_000;
/** Between two stops in turn: a restart and a bit. */
const TURN_MS = 1_500;
/** How long an endpoint that leaves serves on after it said so. */
const LEAVING_MS = 3_500;
const FEWEST_ENDPOINTS = 3;
/** How long an endpoint in need names a limit, and the lowest and highest. */
const NEED_MS = 9_000;
const LEAST_LIMIT_PER_S = 2;
const LIMITS_PER_S = 5;

/** Strikes; gives what was struck. */
export function strike(
  world: StruckWorld,
  name: FaultName,
): string | Promise<string> {
  const instance = world.pick(world.instances)!;
  const forMs = SHORTEST_MS + world.random.below(LONGEST_MS - SHORTEST_MS);
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
        setTimeout(() => each.stop(), i * TURN_MS);
      });
      return "all";
    case "freeze":
      instance.freeze(forMs);
      return `${instance.opts.id} for ${forMs} ms`;
    case "store link":
      return strikeStoreLink(world, forMs);
    case "store down":
      return strikeStore(world, { status: 503 }, forMs);
    case "store silent":
      return strikeStore(world, { silent: true }, forMs);
    case "store loses answers":
      return strikeStore(world, { loseAnswers: true }, forMs);
    case "store forgets":
      world.storeDisturbedAt = Date.now();
      world.store.dropHistory();
      return "its history";
    case "endpoint crash":
      return crash(world);
    case "endpoint drain":
      return drain(world);
    case "endpoint answers":
      return strikeAnswers(world, forMs);
    case "endpoint link":
      return strikeEndpointLink(world, forMs);
    case "endpoint in need":
      return limit(world);
    case "plan":
      return world.operators.newPlan();
    case "withdraw":
      return world.operators.withdrawKey();
  }
}

/** It says in its answers how many requests it takes from all instances. */
function limit(world: StruckWorld): string {
  const endpoint = world.pick(serving(world));
  if (endpoint === undefined) return "none";
  const { stand } = endpoint;
  const { id } = stand.opts;
  if (stand.limitPerS !== undefined) return `${id} has one`;
  stand.limitPerS = LEAST_LIMIT_PER_S + world.random.below(LIMITS_PER_S);
  world.promises.limited(id, stand.limitPerS);
  setTimeout(() => {
    stand.limitPerS = undefined;
    world.promises.limited(id, undefined);
  }, NEED_MS);
  return `${id} takes ${stand.limitPerS} a second for ${NEED_MS} ms`;
}

function linkMode(world: StruckWorld): LinkMode {
  return world.pick<LinkMode>([
    { kind: "delay", ms: 200 },
    { kind: "reset" },
    { kind: "silent" },
    { kind: "one-way" },
  ]) ?? { kind: "reset" };
}

function strikeStoreLink(world: StruckWorld, forMs: number): string {
  const i = world.random.below(world.instances.length);
  const [link, instance] = [world.storeLinks[i]!, world.instances[i]!];
  const mode = linkMode(world);
  instance.disturbed(Date.now() + forMs);
  link.setMode(mode);
  setTimeout(() => link.setMode({ kind: "open" }), forMs);
  return `${instance.opts.id} ${mode.kind} for ${forMs} ms`;
}

function strikeStore(
  world: StruckWorld,
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

function serving(world: StruckWorld): SoakEndpoint[] {
  return world.endpoints.filter((e) => !e.draining);
}

/** One to spare of a service that has enough of them. */
function spare(world: StruckWorld): SoakEndpoint | undefined {
  const all = serving(world);
  const enough = all.filter(({ stand }) => {
    const { service } = stand.opts;
    const of = all.filter((e) => e.stand.opts.service === service);
    return of.length > FEWEST_ENDPOINTS;
  });
  return world.pick(enough);
}

/** It ends without a word; another service's may get its address. */
async function crash(world: StruckWorld): Promise<string> {
  const endpoint = spare(world);
  if (endpoint === undefined) return "none to spare";
  const { stand } = endpoint;
  const { id, service } = stand.opts;
  const { port } = stand;
  endpoint.disturbedAt = Infinity;
  endpoint.draining = true;
  await stand.close();
  setTimeout(() => world.store.remove(KINDS.endpoints, id), LONGEST_MS);
  const other = service === "reads" ? "writes" : "reads";
  await world.addEndpoint(other, port).catch(() => world.addEndpoint(other));
  return `${id}, its port to ${other}`;
}

/** It says that it leaves, serves on for a while, and ends. */
async function drain(world: StruckWorld): Promise<string> {
  const endpoint = spare(world);
  if (endpoint === undefined) return "none to spare";
  endpoint.draining = true;
  world.register(endpoint);
  const { id, service } = endpoint.stand.opts;
  setTimeout(() => world.store.remove(KINDS.endpoints, id), LEAVING_MS);
  await world.addEndpoint(service);
  return id;
}

function strikeAnswers(world: StruckWorld, forMs: number): string {
  const endpoint = world.pick(serving(world));
  if (endpoint === undefined) return "none";
  const fault = world.pick<keyof EndpointFaults>(
    ["lose", "cut", "extra", "foreign"],
  ) ?? "lose";
  endpoint.disturbedAt = Date.now() + forMs;
  endpoint.stand.faults[fault] = 0.3;
  setTimeout(() => endpoint.stand.faults[fault] = 0, forMs);
  return `${endpoint.stand.opts.id} ${fault} for ${forMs} ms`;
}

function strikeEndpointLink(world: StruckWorld, forMs: number): string {
  const endpoint = world.pick(serving(world));
  if (endpoint === undefined) return "none";
  const mode = linkMode(world);
  endpoint.disturbedAt = Date.now() + forMs;
  endpoint.proxy.setMode(mode);
  setTimeout(() => endpoint.proxy.setMode({ kind: "open" }), forMs);
  return `${endpoint.stand.opts.id} ${mode.kind} for ${forMs} ms`;
}
