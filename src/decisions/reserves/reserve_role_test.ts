import test from "ava";
import { ReserveRole, withoutReserves, type ZoneInstance } from "./mod.ts";

const PERIOD_MS = 250;
/** A report is known a period later, a failure after two and a half. */
const SUSPECT_AFTER_PERIODS = 2;
const STRONG_CORES = 1.35;
const WEAK_CORES = 0.27;
/** Processor cores that the callers of the region need in calm operation. */
const CALM_CORES = 0.9;
/** Processor use of an instance without requests. */
const IDLE_SHARE = 0.05;
/**
 * Callers follow the directory with this time constant, in milliseconds: a
 * response is used for 2 to 6 s.
 */
const CALLERS_MOVE_MS = 3_000;
/** Time constant of the measured utilization, in milliseconds. */
const AVERAGE_MS = 1_000;

type State = "serving" | "isolated" | "dead";

interface Report extends ZoneInstance {
  readonly isReserve: boolean;
  readonly state: State;
}

interface SimInstance {
  readonly zone: string;
  readonly capacity: number;
  role: ReserveRole;
  state: State;
  /** Not reached by the rest of its zone. */
  cut: boolean;
  /** Share of the region's callers. */
  callers: number;
  utilization: number;
  /** Latest last. */
  reports: Report[];
  changes: number;
}

/** A region of two zones: 4 strong and 23 weak instances. */
class Region {
  now = 0;
  readonly instances: SimInstance[] = [];
  /** Processor cores that the callers' requests need. */
  workCores = CALM_CORES;

  constructor(strongPerZone = 2, weakByZone = [12, 11]) {
    for (const [z, weak] of weakByZone.entries()) {
      for (let i = 0; i < strongPerZone + weak; i++) {
        this.instances.push({
          zone: `zone-${z}`,
          capacity: i < strongPerZone ? STRONG_CORES : WEAK_CORES,
          role: new ReserveRole(i / (strongPerZone + weak)),
          state: "serving",
          cut: false,
          callers: 0,
          utilization: IDLE_SHARE,
          reports: [],
          changes: 0,
        });
      }
    }
  }

  get strong() {
    return this.instances.filter((i) => i.capacity === STRONG_CORES);
  }

  get weak() {
    return this.instances.filter((i) => i.capacity !== STRONG_CORES);
  }

  get reserves() {
    return this.instances.filter((i) =>
      i.state === "serving" && i.role.isReserve
    );
  }

  /** Instances that a directory names; a failed one for 1.5 s more. */
  named(): readonly SimInstance[] {
    const known = this.instances.filter((i) =>
      i.reports.some(({ state }) => state !== "dead") &&
      i.state !== "isolated"
    );
    return withoutReserves(known, (i) => i.role.isReserve);
  }

  advance(ms: number, onPeriod: () => void = () => {}): void {
    for (let left = ms; left > 0; left -= PERIOD_MS) {
      this.now += PERIOD_MS;
      this.#moveCallers();
      for (const instance of this.instances) this.#decide(instance);
      onPeriod();
    }
  }

  kill(...instances: readonly SimInstance[]): void {
    for (const instance of instances) instance.state = "dead";
  }

  restart(...instances: readonly SimInstance[]): void {
    for (const instance of instances) {
      instance.state = "serving";
      instance.role = new ReserveRole(0.5);
      // The start of a process uses all it has.
      instance.utilization = 1;
    }
  }

  #moveCallers(): void {
    const named = this.named();
    const weight = 1 - Math.exp(-PERIOD_MS / CALLERS_MOVE_MS);
    const alive = this.instances.filter((i) => i.state === "serving");
    for (const instance of this.instances) {
      const goal = named.includes(instance) ? 1 / named.length : 0;
      instance.callers += weight * (goal - instance.callers);
      // Connections to an instance that failed are opened elsewhere at once.
      if (instance.state !== "serving") instance.callers = 0;
    }
    const total = alive.reduce((n, i) => n + i.callers, 0);
    for (const instance of alive) {
      const share = total === 0 ? 0 : instance.callers / total;
      const inUse = IDLE_SHARE + this.workCores * share / instance.capacity;
      const averaged = 1 - Math.exp(-PERIOD_MS / AVERAGE_MS);
      instance.utilization += averaged *
        (Math.min(1, inUse) - instance.utilization);
    }
  }

  #decide(instance: SimInstance): void {
    const { role, capacity, utilization, state } = instance;
    const was = role.isReserve;
    const peers = this.instances.filter((p) =>
      p !== instance && p.zone === instance.zone && !p.cut && !instance.cut
    ).flatMap((p) => this.#heard(p));
    const own = state === "serving" ? { capacity, utilization } : undefined;
    if (state !== "dead") role.update(own, peers, this.now);
    if (role.isReserve !== was && state !== "dead") instance.changes++;
    instance.reports.push({
      capacity,
      utilization,
      isReserve: role.isReserve,
      state,
    });
    if (instance.reports.length > 6) instance.reports.shift();
  }

  /** The last report of a peer, unless it is overdue or not serving. */
  #heard(peer: SimInstance): Report[] {
    const recent = peer.reports.slice(-1 - SUSPECT_AFTER_PERIODS);
    const last = recent.filter(({ state }) => state !== "dead").at(-1);
    return last?.state === "serving" ? [last] : [];
  }
}

function calm(): Region {
  const region = new Region();
  region.advance(40_000);
  return region;
}

test("under a calm load callers are sent to the strong instances alone", (t) => {
  const region = calm();
  t.true(region.named().every((i) => i.capacity === STRONG_CORES));
  t.is(region.named().length, 4);
  t.is(region.reserves.length, 23);
  t.true(region.strong.every((i) => i.utilization < 0.5));
});

// Guards against a change in fleets whose instances are alike.
test("instances that are alike, or nearly, are no reserves", (t) => {
  const region = new Region(0, [6, 6]);
  region.advance(60_000);
  t.is(region.reserves.length, 0);
  const role = new ReserveRole(0);
  const nearly = { capacity: 0.8, utilization: 0, linkClass: 20 };
  const peers = [1, 1, 1].map((capacity) => ({
    capacity,
    utilization: 0,
    linkClass: 21,
  }));
  for (let now = 0; now < 60_000; now += PERIOD_MS) {
    t.false(role.update(nearly, peers, now));
  }
  t.is(role.obstacle, "strong");
});

// Guards against a link of 7 Mbit/s that gets as many callers as one of 140.
test("an instance with a far slower link is weak, unless it has more cores", (t) => {
  const peers = [1, 1].map((capacity) => ({
    capacity,
    utilization: 0.1,
    linkClass: 24,
  }));
  const slow = { utilization: 0.1, linkClass: 20 };
  for (const [capacity, expected] of [[0.7, true], [1.4, false]] as const) {
    const role = new ReserveRole(0);
    for (let now = 0; now < 20_000; now += PERIOD_MS) {
      role.update({ ...slow, capacity }, peers, now);
    }
    t.is(role.isReserve, expected, `${capacity} cores`);
  }
});

// Guards against strong instances that carry a burst alone.
test("in a burst of three times the reserves are named again before the strong are full", (t) => {
  const region = calm();
  region.workCores *= 3;
  let mostUsed = 0;
  region.advance(7_000, () => {
    mostUsed = Math.max(mostUsed, ...region.strong.map((i) => i.utilization));
  });
  t.is(region.reserves.length, 0);
  t.true(mostUsed < 0.75, `${mostUsed}`);
  t.true(region.weak.every((i) => i.role.obstacle === "busy"));
  region.workCores = CALM_CORES;
  region.advance(50_000);
  t.is(region.reserves.length, 0, "too early after a burst");
  region.advance(60_000);
  t.is(region.reserves.length, 23);
});

test("in a burst of 2.3 times the strong instances stay below 0.75", (t) => {
  const region = calm();
  region.workCores *= 2.3;
  region.advance(7_000, () => {
    t.true(region.strong.every((i) => i.utilization < 0.75));
  });
});

// Guards against callers that are moved with each wave of demand.
test("waves of demand move an instance's callers at most twice a minute", (t) => {
  for (const cores of [CALM_CORES, 1.4, 2]) {
    const region = new Region();
    for (let at = 0; at < 180_000; at += 1_000) {
      region.workCores = cores *
        (1 + 0.55 * Math.sin(2 * Math.PI * at / 36_000));
      region.advance(1_000);
    }
    const most = Math.max(...region.weak.map((i) => i.changes));
    t.true(most <= 6, `${most} changes in 180 s at ${cores} cores`);
  }
});

test("one strong instance of two that fails brings the zone's reserves back", (t) => {
  const region = calm();
  const [first] = region.strong;
  region.kill(first!);
  region.advance(1_000);
  const inZone = (zone: string) =>
    region.reserves.filter((i) => i.zone === zone).length;
  t.is(inZone("zone-0"), 0);
  t.is(inZone("zone-1"), 11);
  region.advance(5_000);
  t.true(region.strong.every((i) => i.utilization < 0.7));
});

test("when all strong instances fail at once the reserves are named", (t) => {
  const region = calm();
  region.kill(...region.strong);
  region.advance(1_000);
  t.is(region.reserves.length, 0);
  t.true(region.named().length >= 23);
});

// Guards against a zone's load that comes to the strong ones of another alone.
test("when a zone fails, the reserves of the other are named if they are needed", (t) => {
  const region = calm();
  region.workCores = 1.6;
  region.kill(...region.instances.filter((i) => i.zone === "zone-0"));
  let mostUsed = 0;
  region.advance(10_000, () => {
    const alive = region.strong.filter((i) => i.state === "serving");
    mostUsed = Math.max(mostUsed, ...alive.map((i) => i.utilization));
  });
  t.is(region.reserves.length, 0);
  t.true(mostUsed < 0.85, `${mostUsed}`);
});

// Guards against instances that leave their callers to others that they no
// longer hear.
test("in a zone whose instances do not reach each other nobody is a reserve", (t) => {
  const region = calm();
  for (const i of region.instances) i.cut = i.zone === "zone-0";
  region.advance(PERIOD_MS);
  t.true(region.reserves.every((i) => i.zone === "zone-1"));
});

test("an instance that reaches no endpoint is no reserve", (t) => {
  const region = calm();
  for (const i of region.instances) {
    if (i.zone === "zone-0") i.state = "isolated";
  }
  region.advance(PERIOD_MS);
  t.true(region.reserves.every((i) => i.zone === "zone-1"));
  for (const i of region.instances) i.state = "serving";
  region.advance(4_000);
  t.true(region.reserves.every((i) => i.zone === "zone-1"));
});

// Guards against a directory that names instances nobody knows to be alive.
test("after a restart of all there are no reserves for five seconds", (t) => {
  const region = calm();
  region.kill(...region.instances);
  region.advance(2_000);
  region.restart(...region.instances);
  region.advance(5_000, () => t.is(region.reserves.length, 0));
  region.advance(30_000);
  t.is(region.reserves.length, 23);
});

test("through a rolling restart the directory names at least two", (t) => {
  const region = calm();
  for (const instance of region.instances) {
    region.kill(instance);
    region.advance(1_500, () => t.true(region.named().length >= 2));
    region.restart(instance);
    region.advance(2_500, () => t.true(region.named().length >= 2));
  }
  t.true(region.strong.every((i) => i.utilization < 0.7));
});

// Guards against a strong instance of an earlier build that counts as idle.
test("strong instances whose utilization is unknown have no reserves", (t) => {
  const role = new ReserveRole(0);
  const peers = [{ capacity: 1 }, { capacity: 1, utilization: 0 }];
  for (let now = 0; now < 60_000; now += PERIOD_MS) {
    role.update({ capacity: 0.2, utilization: 0 }, peers, now);
  }
  t.is(role.obstacle, "unknown_utilization");
});

test("strong instances with a small part of the zone have no reserves", (t) => {
  const region = new Region(2, [40]);
  region.advance(60_000);
  t.is(region.reserves.length, 0);
  t.true(region.weak.every((i) => i.role.obstacle === "little_capacity"));
});
