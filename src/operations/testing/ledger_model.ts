/**
 * A small model of the ledger's protocol. Owners and second place are real
 * ledgers; between them stand messages that may be lost, repeated and arrive
 * in any order, and processes that may end at any step.
 *
 * @module
 */
import { Ledger, type OperationName, type SeatEpoch } from "../ledger.ts";

/** A fault planted to see that the check can fail. */
export type PlantedFault =
  | "none"
  /** The owner dispatches without waiting for its second place. */
  | "second_place_skipped"
  /** Who asks in the owner's stead says "not run" without fencing. */
  | "fence_skipped"
  /** The second place takes intents of any epoch. */
  | "epoch_ignored"
  /** An owner that gave up on an intent forgets that it did. */
  | "refusal_forgotten";

/** What is explored. */
export interface ModelOptions {
  /** `token`: one owner; `seat`: a second owner takes over. */
  readonly world: "token" | "seat";
  readonly fault: PlantedFault;
  /** Messages that may arrive once more. */
  readonly repeats: number;
  /** Times that somebody asks in the owner's stead. */
  readonly asks: number;
}

/** What an exploration found. */
export interface ModelResult {
  readonly states: number;
  /** The shortest way to a violation; empty if there is none. */
  readonly trace: readonly string[];
  readonly violation: string;
}

type OwnerName = "first" | "next";

interface Owner {
  readonly ledger: Ledger;
  alive: boolean;
  /** The run that waits for its second place, and the one dispatched. */
  waiting: string;
  dispatched: string;
}

interface Message {
  readonly kind: "attempt" | "intent" | "receipt" | "answer" | "refuse";
  readonly owner: OwnerName;
  readonly run: string;
  readonly accepted: boolean;
  readonly state: string;
}

interface World {
  readonly first: Owner;
  readonly next: Owner;
  readonly second: { readonly ledger: Ledger; alive: boolean };
  /** The second place that the second owner chose for itself. */
  readonly other: { readonly ledger: Ledger };
  messages: Message[];
  dispatches: number;
  /** Whether somebody was told that the operation did not and will not run. */
  refused: boolean;
  repeats: number;
  asks: number;
  /** How far the second owner's questions have come. */
  takeover: "no" | "clear" | "known";
}

interface Step {
  readonly label: string;
  readonly world: World;
}

const NOW = 0;
const KEEP_MS = 1_000;
const FINGERPRINT = "f";

/** Explores every interleaving, breadth first. */
export function explore(opts: ModelOptions): ModelResult {
  const start = initial(opts);
  const seen = new Set([keyOfWorld(start)]);
  let frontier: { world: World; trace: string[] }[] = [
    { world: start, trace: [] },
  ];
  while (frontier.length > 0) {
    const reached: typeof frontier = [];
    for (const { world, trace } of frontier) {
      for (const step of steps(world, opts)) {
        const key = keyOfWorld(step.world);
        if (seen.has(key)) continue;
        seen.add(key);
        const path = [...trace, step.label];
        const violation = violationOf(step.world);
        if (violation) return { states: seen.size, trace: path, violation };
        reached.push({ world: step.world, trace: path });
      }
    }
    frontier = reached;
  }
  return { states: seen.size, trace: [], violation: "" };
}

function initial(opts: ModelOptions): World {
  const owner = () => ({
    ledger: new Ledger(),
    alive: true,
    waiting: "",
    dispatched: "",
  });
  const attempts: OwnerName[] = opts.world === "token"
    ? ["first", "first"]
    : ["first", "next"];
  return {
    first: owner(),
    next: owner(),
    second: { ledger: new Ledger(), alive: true },
    other: { ledger: new Ledger() },
    messages: attempts.map((name) => message("attempt", name)),
    dispatches: 0,
    refused: false,
    repeats: opts.repeats,
    asks: opts.asks,
    takeover: "no",
  };
}

function violationOf(world: World): string {
  if (world.dispatches > 1) return "dispatched twice";
  if (world.refused && world.dispatches > 0) return "not-run was false";
  return "";
}

function steps(world: World, opts: ModelOptions): Step[] {
  return [
    ...deliveries(world, opts),
    ...ownerSteps(world, "first", opts),
    ...ownerSteps(world, "next", opts),
    ...otherSteps(world, opts),
  ];
}

function deliveries(world: World, opts: ModelOptions): Step[] {
  return world.messages.flatMap((msg, i) => {
    const once = copy(world);
    once.messages.splice(i, 1);
    deliver(once, msg, opts);
    const label = `${msg.kind} of ${msg.owner} arrives`;
    if (world.repeats === 0) return [{ label, world: once }];
    const twice = copy(world);
    twice.repeats -= 1;
    deliver(twice, msg, opts);
    return [{ label, world: once }, {
      label: `${label}, to come again`,
      world: twice,
    }];
  });
}

function deliver(world: World, msg: Message, opts: ModelOptions): void {
  if (msg.kind === "attempt") return attempt(world, msg.owner, opts);
  if (msg.kind === "receipt") return receipt(world, msg);
  if (!world.second.alive) return;
  const { ledger } = placeOf(world, msg.owner);
  if (msg.kind === "intent") return intent(world, msg, opts);
  const conclusion = msg.kind === "answer"
    ? { state: "answered" } as const
    : { state: "refused" } as const;
  ledger.conclude(nameIn(opts), msg.run, { conclusion, now: NOW });
}

function attempt(world: World, name: OwnerName, opts: ModelOptions): void {
  const owner = world[name];
  if (!owner.alive) return;
  if (name === "next" && world.takeover !== "clear") return;
  const decision = owner.ledger.begin({
    name: nameIn(opts),
    fingerprint: FINGERPRINT,
    owner: name,
    keepMs: KEEP_MS,
    seat: seatOf(name, opts),
  }, NOW);
  if (decision.kind === "known" && decision.record.state === "refused") {
    world.refused = true;
  }
  if (decision.kind !== "start") return;
  if (opts.fault === "second_place_skipped") {
    world.dispatches += 1;
    owner.dispatched = decision.run;
  } else owner.waiting = decision.run;
  world.messages.push(message("intent", name, decision.run));
}

function intent(world: World, msg: Message, opts: ModelOptions): void {
  const seat = opts.fault === "epoch_ignored"
    ? undefined
    : seatOf(msg.owner, opts);
  const decision = placeOf(world, msg.owner).ledger.intent({
    name: nameIn(opts),
    fingerprint: FINGERPRINT,
    run: msg.run,
    owner: msg.owner,
    keepMs: KEEP_MS,
    seat,
  }, NOW);
  world.messages.push({
    ...message("receipt", msg.owner, msg.run),
    accepted: decision.accepted,
    state: decision.state,
  });
}

function placeOf(world: World, owner: OwnerName): { ledger: Ledger } {
  return owner === "first" ? world.second : world.other;
}

function receipt(world: World, msg: Message): void {
  const owner = world[msg.owner];
  if (!owner.alive || owner.waiting !== msg.run) return;
  owner.waiting = "";
  if (msg.accepted) {
    owner.dispatched = msg.run;
    world.dispatches += 1;
    return;
  }
  const state = msg.state === "refused" ? "refused" : "unknown";
  conclude(owner, msg.run, state);
  if (state === "refused" && msg.owner === "first" && world.takeover === "no") {
    world.refused = true;
  }
}

function ownerSteps(
  world: World,
  name: OwnerName,
  opts: ModelOptions,
): Step[] {
  const owner = world[name];
  if (!owner.alive) return [];
  const found: Step[] = [];
  const add = (label: string, act: (world: World, owner: Owner) => void) => {
    const then = copy(world);
    act(then, then[name]);
    found.push({ label: `${name} ${label}`, world: then });
  };
  if (owner.waiting) {
    add("gives up on its second place", (w, o) => {
      const run = o.waiting;
      o.waiting = "";
      if (opts.fault !== "refusal_forgotten") conclude(o, run, "refused");
      else o.ledger.conclude(nameIn(opts), run, refusedAt(-KEEP_MS * KEEP_MS));
      if (opts.fault === "refusal_forgotten") o.ledger.expire(NOW);
      if (opts.world === "token") w.refused = true;
      w.messages.push(message("refuse", name, run));
    });
  }
  if (owner.dispatched) {
    add("gets its answer", (w, o) => {
      conclude(o, o.dispatched, "answered");
      w.messages.push(message("answer", name, o.dispatched));
      o.dispatched = "";
    });
    add("hears that the endpoint did not run it", (w, o) => {
      conclude(o, o.dispatched, "refused");
      w.messages.push(message("refuse", name, o.dispatched));
      w.dispatches -= 1;
      if (opts.world === "token") w.refused = true;
      o.dispatched = "";
    });
  }
  add("dies", (_w, o) => {
    o.alive = false;
  });
  return found;
}

function otherSteps(world: World, opts: ModelOptions): Step[] {
  const found: Step[] = [];
  const add = (label: string, act: (world: World) => void) => {
    const then = copy(world);
    act(then);
    found.push({ label, world: then });
  };
  if (world.second.alive && opts.world === "token") {
    add("second place dies", (w) => {
      w.second.alive = false;
    });
  }
  if (!world.second.alive || world.asks === 0) return found;
  if (opts.world === "token") add("somebody asks", (w) => ask(w, opts));
  else if (world.takeover === "no") {
    add("next takes the seat over", (w) => takeOver(w, opts));
  }
  return found;
}

function ask(world: World, opts: ModelOptions): void {
  world.asks -= 1;
  const { ledger } = world.second;
  const view = opts.fault === "fence_skipped"
    ? ledger.view(nameIn(opts))
    : ledger.fence(nameIn(opts), { now: NOW });
  if (view.state === "refused" || view.state === "none") world.refused = true;
}

/** The earlier holder is out of reach, whether it lives or not. */
function takeOver(world: World, opts: ModelOptions): void {
  world.asks -= 1;
  const seat = seatOf("next", opts);
  const { state } = world.second.ledger.fence(nameIn(opts), { seat, now: NOW });
  world.takeover = state === "none" ? "clear" : "known";
}

function conclude(
  owner: Owner,
  run: string,
  state: "answered" | "refused" | "unknown",
): void {
  const record = [...owner.ledger.records()].find((r) => r.run === run);
  if (record === undefined) return;
  owner.ledger.conclude(record.name, run, { conclusion: { state }, now: NOW });
}

function refusedAt(now: number) {
  return { conclusion: { state: "refused" }, now } as const;
}

function nameIn(opts: ModelOptions): OperationName {
  return { account: "a", id: "op", scope: opts.world === "token" ? "s" : "" };
}

function seatOf(name: OwnerName, opts: ModelOptions): SeatEpoch | undefined {
  if (opts.world === "token") return undefined;
  return { zone: "z", index: 0, epoch: name === "first" ? 1 : 2 };
}

function message(
  kind: Message["kind"],
  owner: OwnerName,
  run = "",
): Message {
  return { kind, owner, run, accepted: false, state: "" };
}

function copy(world: World): World {
  const owner = (o: Owner) => ({ ...o, ledger: o.ledger.clone() });
  return {
    ...world,
    first: owner(world.first),
    next: owner(world.next),
    second: { ...world.second, ledger: world.second.ledger.clone() },
    other: { ledger: world.other.ledger.clone() },
    messages: [...world.messages],
  };
}

/** Two worlds that agree in this go on alike; order of messages is nothing. */
function keyOfWorld(world: World): string {
  const { first, next, second, other, messages, ...rest } = world;
  const owner = (o: Owner) => [
    o.alive,
    o.waiting,
    o.dispatched,
    dump(o.ledger),
  ];
  return JSON.stringify([
    owner(first),
    owner(next),
    second.alive,
    dump(second.ledger),
    dump(other.ledger),
    messages.map((m) => JSON.stringify(m)).sort(),
    rest,
  ]);
}

function dump(ledger: Ledger): unknown[] {
  const records = [...ledger.records()].map((r) => [r.state, r.run, r.owner]);
  return [records, ledger.epochOf("z", 0), ledger.runs];
}
