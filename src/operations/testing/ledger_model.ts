/**
 * A model of the ledger's protocol for exhaustive checking. Owners and backups
 * are real ledgers; messages between them may be lost, duplicated and
 * reordered, and processes may crash at any step.
 *
 * @module
 */
import { Ledger, type OperationName, type SeatEpoch } from "../ledger.ts";

/** A fault injected to check that the model detects it. */
export type InjectedFault =
  | "none"
  /** The owner dispatches without waiting for its backup. */
  | "second_place_skipped"
  /** A query on behalf of the owner answers "not run" without fencing. */
  | "fence_skipped"
  /** The backup accepts intents of any epoch. */
  | "epoch_ignored"
  /** An owner that gave up on an intent does not keep the refusal. */
  | "refusal_forgotten";

/** What is explored. */
export interface ModelOptions {
  /** `token`: one owner; `seat`: a second owner takes over. */
  readonly homeKind: "token" | "seat";
  readonly fault: InjectedFault;
  /** The number of messages that may be delivered twice. */
  readonly repeats: number;
  /** The number of queries on behalf of the owner. */
  readonly asks: number;
}

/** The result of an exploration. */
export interface ModelResult {
  readonly states: number;
  /** The shortest path to a violation; empty if there is none. */
  readonly trace: readonly string[];
  readonly violation: string;
}

type OwnerName = "first" | "next";

interface Owner {
  readonly ledger: Ledger;
  alive: boolean;
  /** The run that waits for its backup, and the one dispatched. */
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

interface ModelState {
  readonly first: Owner;
  readonly next: Owner;
  readonly backup: { readonly ledger: Ledger; alive: boolean };
  /** The backup that the second owner uses. */
  readonly otherBackup: { readonly ledger: Ledger };
  messages: Message[];
  dispatches: number;
  /** Whether any caller received the answer that the operation will not run. */
  refused: boolean;
  repeats: number;
  asks: number;
  /** Whether the second owner has queried, and if it found a record. */
  takeover: "no" | "clear" | "known";
}

interface Step {
  readonly label: string;
  readonly model: ModelState;
}

const NOW = 0;
const KEEP_MS = 1_000;
const FINGERPRINT = "f";

/** Explores every interleaving, breadth first. */
export function explore(opts: ModelOptions): ModelResult {
  const start = initial(opts);
  const seen = new Set([modelKey(start)]);
  let frontier: { model: ModelState; trace: string[] }[] = [
    { model: start, trace: [] },
  ];
  while (frontier.length > 0) {
    const reached: typeof frontier = [];
    for (const { model, trace } of frontier) {
      for (const step of steps(model, opts)) {
        const key = modelKey(step.model);
        if (seen.has(key)) continue;
        seen.add(key);
        const path = [...trace, step.label];
        const violation = violationOf(step.model);
        if (violation) return { states: seen.size, trace: path, violation };
        reached.push({ model: step.model, trace: path });
      }
    }
    frontier = reached;
  }
  return { states: seen.size, trace: [], violation: "" };
}

function initial(opts: ModelOptions): ModelState {
  const owner = () => ({
    ledger: new Ledger(),
    alive: true,
    waiting: "",
    dispatched: "",
  });
  const attempts: OwnerName[] = opts.homeKind === "token"
    ? ["first", "first"]
    : ["first", "next"];
  return {
    first: owner(),
    next: owner(),
    backup: { ledger: new Ledger(), alive: true },
    otherBackup: { ledger: new Ledger() },
    messages: attempts.map((name) => message("attempt", name)),
    dispatches: 0,
    refused: false,
    repeats: opts.repeats,
    asks: opts.asks,
    takeover: "no",
  };
}

function violationOf(model: ModelState): string {
  if (model.dispatches > 1) return "dispatched twice";
  if (model.refused && model.dispatches > 0) return "not-run was false";
  return "";
}

function steps(model: ModelState, opts: ModelOptions): Step[] {
  return [
    ...deliveries(model, opts),
    ...ownerSteps(model, "first", opts),
    ...ownerSteps(model, "next", opts),
    ...environmentSteps(model, opts),
  ];
}

function deliveries(model: ModelState, opts: ModelOptions): Step[] {
  return model.messages.flatMap((msg, i) => {
    const once = cloneModel(model);
    once.messages.splice(i, 1);
    deliver(once, msg, opts);
    const label = `${msg.kind} of ${msg.owner} arrives`;
    if (model.repeats === 0) return [{ label, model: once }];
    const twice = cloneModel(model);
    twice.repeats -= 1;
    deliver(twice, msg, opts);
    return [{ label, model: once }, {
      label: `${label}, to be delivered again`,
      model: twice,
    }];
  });
}

function deliver(model: ModelState, msg: Message, opts: ModelOptions): void {
  if (msg.kind === "attempt") return attempt(model, msg.owner, opts);
  if (msg.kind === "receipt") return receipt(model, msg);
  if (!model.backup.alive) return;
  const { ledger } = backupOf(model, msg.owner);
  if (msg.kind === "intent") return intent(model, msg, opts);
  const conclusion = msg.kind === "answer"
    ? { state: "answered" } as const
    : { state: "refused" } as const;
  ledger.conclude(nameIn(opts), msg.run, { conclusion, now: NOW });
}

function attempt(model: ModelState, name: OwnerName, opts: ModelOptions): void {
  const owner = model[name];
  if (!owner.alive) return;
  if (name === "next" && model.takeover !== "clear") return;
  const decision = owner.ledger.begin({
    name: nameIn(opts),
    fingerprint: FINGERPRINT,
    owner: name,
    keepMs: KEEP_MS,
    seat: seatOf(name, opts),
  }, NOW);
  if (decision.kind === "known" && decision.record.state === "refused") {
    model.refused = true;
  }
  if (decision.kind !== "start") return;
  if (opts.fault === "second_place_skipped") {
    model.dispatches += 1;
    owner.dispatched = decision.run;
  } else owner.waiting = decision.run;
  model.messages.push(message("intent", name, decision.run));
}

function intent(model: ModelState, msg: Message, opts: ModelOptions): void {
  const seat = opts.fault === "epoch_ignored"
    ? undefined
    : seatOf(msg.owner, opts);
  const decision = backupOf(model, msg.owner).ledger.intent({
    name: nameIn(opts),
    fingerprint: FINGERPRINT,
    run: msg.run,
    owner: msg.owner,
    keepMs: KEEP_MS,
    seat,
  }, NOW);
  model.messages.push({
    ...message("receipt", msg.owner, msg.run),
    accepted: decision.accepted,
    state: decision.state,
  });
}

function backupOf(model: ModelState, owner: OwnerName): { ledger: Ledger } {
  return owner === "first" ? model.backup : model.otherBackup;
}

function receipt(model: ModelState, msg: Message): void {
  const owner = model[msg.owner];
  if (!owner.alive || owner.waiting !== msg.run) return;
  owner.waiting = "";
  if (msg.accepted) {
    owner.dispatched = msg.run;
    model.dispatches += 1;
    return;
  }
  const state = msg.state === "refused" ? "refused" : "unknown";
  conclude(owner, msg.run, state);
  if (state === "refused" && msg.owner === "first" && model.takeover === "no") {
    model.refused = true;
  }
}

function ownerSteps(
  model: ModelState,
  name: OwnerName,
  opts: ModelOptions,
): Step[] {
  const owner = model[name];
  if (!owner.alive) return [];
  const found: Step[] = [];
  const add = (
    label: string,
    apply: (model: ModelState, owner: Owner) => void,
  ) => {
    const after = cloneModel(model);
    apply(after, after[name]);
    found.push({ label: `${name} ${label}`, model: after });
  };
  if (owner.waiting) {
    add("gives up on its backup", (w, o) => {
      const run = o.waiting;
      o.waiting = "";
      if (opts.fault !== "refusal_forgotten") conclude(o, run, "refused");
      else o.ledger.conclude(nameIn(opts), run, refusedAt(-KEEP_MS * KEEP_MS));
      if (opts.fault === "refusal_forgotten") o.ledger.expire(NOW);
      if (opts.homeKind === "token") w.refused = true;
      w.messages.push(message("refuse", name, run));
    });
  }
  if (owner.dispatched) {
    add("gets its answer", (w, o) => {
      conclude(o, o.dispatched, "answered");
      w.messages.push(message("answer", name, o.dispatched));
      o.dispatched = "";
    });
    add("learns that the endpoint did not run it", (w, o) => {
      conclude(o, o.dispatched, "refused");
      w.messages.push(message("refuse", name, o.dispatched));
      w.dispatches -= 1;
      if (opts.homeKind === "token") w.refused = true;
      o.dispatched = "";
    });
  }
  add("crashes", (_w, o) => {
    o.alive = false;
  });
  return found;
}

function environmentSteps(model: ModelState, opts: ModelOptions): Step[] {
  const found: Step[] = [];
  const add = (label: string, apply: (model: ModelState) => void) => {
    const after = cloneModel(model);
    apply(after);
    found.push({ label, model: after });
  };
  if (model.backup.alive && opts.homeKind === "token") {
    add("backup crashes", (w) => {
      w.backup.alive = false;
    });
  }
  if (!model.backup.alive || model.asks === 0) return found;
  if (opts.homeKind === "token") add("backup fenced", (w) => fence(w, opts));
  else if (model.takeover === "no") {
    add("next takes the seat over", (w) => takeOver(w, opts));
  }
  return found;
}

function fence(model: ModelState, opts: ModelOptions): void {
  model.asks -= 1;
  const { ledger } = model.backup;
  const view = opts.fault === "fence_skipped"
    ? ledger.view(nameIn(opts))
    : ledger.fence(nameIn(opts), { now: NOW });
  if (view.state === "refused" || view.state === "none") model.refused = true;
}

/** The earlier holder is unreachable, whether or not it is alive. */
function takeOver(model: ModelState, opts: ModelOptions): void {
  model.asks -= 1;
  const seat = seatOf("next", opts);
  const { state } = model.backup.ledger.fence(nameIn(opts), { seat, now: NOW });
  model.takeover = state === "none" ? "clear" : "known";
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
  return {
    account: "a",
    id: "op",
    scope: opts.homeKind === "token" ? "s" : "",
  };
}

function seatOf(name: OwnerName, opts: ModelOptions): SeatEpoch | undefined {
  if (opts.homeKind === "token") return undefined;
  return { zone: "z", index: 0, epoch: name === "first" ? 1 : 2 };
}

function message(
  kind: Message["kind"],
  owner: OwnerName,
  run = "",
): Message {
  return { kind, owner, run, accepted: false, state: "" };
}

function cloneModel(model: ModelState): ModelState {
  const owner = (o: Owner) => ({ ...o, ledger: o.ledger.clone() });
  return {
    ...model,
    first: owner(model.first),
    next: owner(model.next),
    backup: { ...model.backup, ledger: model.backup.ledger.clone() },
    otherBackup: { ledger: model.otherBackup.ledger.clone() },
    messages: [...model.messages],
  };
}

/** Equal keys mean equal continuations; message order does not matter. */
function modelKey(model: ModelState): string {
  const { first, next, backup, otherBackup, messages, ...rest } = model;
  const owner = (o: Owner) => [
    o.alive,
    o.waiting,
    o.dispatched,
    dump(o.ledger),
  ];
  return JSON.stringify([
    owner(first),
    owner(next),
    backup.alive,
    dump(backup.ledger),
    dump(otherBackup.ledger),
    messages.map((m) => JSON.stringify(m)).sort(),
    rest,
  ]);
}

function dump(ledger: Ledger): unknown[] {
  const records = [...ledger.records()].map((r) => [r.state, r.run, r.owner]);
  return [records, ledger.epochOf("z", 0), ledger.runs];
}
