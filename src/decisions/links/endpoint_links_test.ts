import test from "ava";
import type { EndpointId, ZoneId } from "../../core/mod.ts";
import { SeededRandom } from "../../core/mod.ts";
import { endpointRow } from "../../edge/testing/traffic_fixtures.ts";
import type { EndpointRow } from "../../traffic/mod.ts";
import { EndpointLinks } from "./mod.ts";

/** Six endpoints in three zones. */
function rows(): EndpointRow[] {
  return ["z1", "z1", "z2", "z2", "z3", "z3"].map((zone, i) =>
    endpointRow({
      id: `e${i}` as EndpointId,
      address: `e${i}`,
      zone: zone as ZoneId,
    })
  );
}

function attempt(
  links: EndpointLinks,
  address: string,
  opts: {
    readonly outcome: "response" | "failure";
    readonly at: number;
    readonly isNew?: boolean;
  },
): void {
  links.sent(opts.at);
  const { outcome, isNew: isNewConnection = true } = opts;
  links.ended({ address, outcome, isNewConnection }, opts.at);
}

/** Runs a check that reaches some of the endpoints probed. */
function check(links: EndpointLinks, now: number, reached: number): void {
  const probed = links.startCheck(rows(), now).length;
  links.endCheck({ startedAt: now, probed, reached }, now);
}

/** Links that are down since `at`. */
function downAt(at: number): EndpointLinks {
  const links = new EndpointLinks();
  check(links, at, 0);
  return links;
}

// Guards against an instance that isolates itself when one endpoint ends.
test("one endpoint that cannot be reached starts no check", (t) => {
  const links = new EndpointLinks();
  for (let i = 0; i < 5; i++) {
    attempt(links, "e0", { outcome: "failure", at: i });
  }
  t.false(links.isCheckDue(10));
});

test("two endpoints that cannot be reached start a check, unless a new connection works meanwhile", (t) => {
  const links = new EndpointLinks();
  attempt(links, "e0", { outcome: "failure", at: 0 });
  attempt(links, "e1", { outcome: "response", at: 1 });
  attempt(links, "e2", { outcome: "failure", at: 2 });
  t.false(links.isCheckDue(3));
  attempt(links, "e1", { outcome: "response", at: 4, isNew: false });
  attempt(links, "e3", { outcome: "failure", at: 5 });
  t.true(links.isCheckDue(6));
});

// Guards against lost links that show by silence only, on open connections.
test("requests without any response for a second start a check", (t) => {
  const links = new EndpointLinks();
  links.sent(0);
  t.false(links.isCheckDue(900));
  t.true(links.isCheckDue(1_000));
});

test("an idle instance makes no checks", (t) => {
  const links = new EndpointLinks();
  attempt(links, "e0", { outcome: "response", at: 0 });
  t.false(links.isCheckDue(60_000));
});

test("the links are down only if a check reaches no endpoint", (t) => {
  const links = new EndpointLinks();
  check(links, 0, 1);
  t.is(links.state, "up");
  check(links, 1_000, 0);
  t.is(links.state, "down");
});

test("a new connection during a check shows that the links are up", (t) => {
  const links = new EndpointLinks();
  const probed = links.startCheck(rows(), 0).length;
  attempt(links, "e0", { outcome: "response", at: 5 });
  links.endCheck({ startedAt: 0, probed, reached: 0 }, 500);
  t.is(links.state, "up");
});

// Guards against connections that live on and are no longer used.
test("while open connections respond they go on being used", (t) => {
  const links = new EndpointLinks();
  attempt(links, "e0", { outcome: "response", at: 900, isNew: false });
  check(links, 1_000, 0);
  t.is(links.state, "reused-only");
  check(links, 1_500, 0);
  t.is(links.state, "down");
});

test("fewer than three endpoints allow no conclusion", (t) => {
  const links = new EndpointLinks();
  const probed = links.startCheck(rows().slice(0, 2), 0).length;
  links.endCheck({ startedAt: 0, probed, reached: 0 }, 500);
  t.is(links.state, "up");
});

// Guards against an instance that returns with each moment of a flapping link.
test("the links are up again after two checks in a row that reach an endpoint", (t) => {
  const links = downAt(0);
  t.true(links.isCheckDue(500));
  check(links, 500, 4);
  t.is(links.state, "down");
  check(links, 1_000, 0);
  check(links, 1_500, 4);
  t.is(links.state, "down");
  check(links, 2_000, 1);
  t.is(links.state, "up");
  t.is(links.failingSince, undefined);
});

// Guards against the loss of a zone that looks like the loss of all endpoints.
test("a check probes endpoints of every zone, those that responded last first", (t) => {
  const links = new EndpointLinks();
  attempt(links, "e3", { outcome: "response", at: 1 });
  attempt(links, "e0", { outcome: "response", at: 2 });
  attempt(links, "e1", { outcome: "response", at: 3 });
  const probed = links.startCheck(rows(), 10).map((row) => row.id as string);
  t.deepEqual(probed.slice(0, 2), ["e1", "e3"]);
  t.true(["e4", "e5"].includes(probed[2] ?? ""));
  t.is(probed[3], "e0");
});

// Guards against isolation while at least one endpoint can be reached.
test("in random runs the links are never down while probes reach an endpoint", (t) => {
  for (let seed = 0; seed < 200; seed++) {
    const random = new SeededRandom(seed);
    const links = new EndpointLinks();
    for (let now = 0; now < 20_000; now += 50) {
      const outcome = random.next() < 0.5 ? "failure" : "response";
      const isNew = random.next() < 0.5;
      const address = `e${random.below(6)}`;
      attempt(links, address, { outcome, at: now, isNew });
      if (links.isCheckDue(now)) check(links, now, 1 + random.below(4));
      t.is(links.state, "up");
    }
  }
});
