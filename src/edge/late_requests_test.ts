import test from "ava";
import { failure } from "../core/mod.ts";
import type { Entrance } from "./entrance.ts";
import {
  HeldRequests,
  listenHolding,
  settle,
  until,
} from "./testing/held_requests.ts";
import { RawCaller } from "./testing/raw_caller.ts";

const HOP = "magnoliahook-from: i1\r\nmagnoliahook-plan: 1\r\n" +
  "magnoliahook-attempts: 0\r\n";

function request(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: h\r\n${HOP}\r\n`;
}

// Guards against requests that come late in the grace period, are forwarded, and
// get no response as the instance ends.
for (const fromPeers of [false, true]) {
  const from = fromPeers ? "peers" : "callers";
  test(`late requests of ${from}: those that are forwarded are answered, others are not forwarded`, async (t) => {
    const held = new HeldRequests();
    const server = await listenHolding(held, { fromPeers });
    const used = await RawCaller.open(server.port);
    const unused = await RawCaller.open(server.port);
    server.startDraining();
    const late = await RawCaller.open(server.port);
    late.send(request("/late"));
    used.send(request("/1") + request("/behind"));
    await until(() => held.forwarded.length === 2);
    server.stopListening();
    unused.send(request("/too-late"));
    await settle();
    held.answerAll();
    await Promise.all([used.closed, unused.closed, late.closed]);
    await server.whenIdle();
    t.deepEqual([...held.forwarded].sort(), ["/1", "/late"]);
    t.deepEqual([late.statuses, used.statuses], [[200], [200]]);
    t.deepEqual([late.closing, used.closing], [[0], [0]]);
    t.deepEqual([late.error, used.error], [undefined, undefined]);
    await server.close();
  });
}

/** An entrance at which requests wait until it is opened. */
function closedEntrance() {
  const waiting: ((refused: boolean) => void)[] = [];
  const refusal = failure("not_ready", "behind", { outcome: "not-run" });
  const entrance = {
    add: () => {},
    refuseConnection: () => undefined,
    mayStart: () => false,
    wait: () =>
      new Promise((resolve) => {
        waiting.push((refused) => resolve(refused ? refusal : undefined));
      }),
  } as unknown as Entrance;
  return { entrance, waiting };
}

// Guards against requests that wait until the instance has caught up, and get no
// response if the listener is closed meanwhile.
for (const refused of [false, true]) {
  test(`a request that waits when the listener closes gets a response, refused ${refused}`, async (t) => {
    const held = new HeldRequests();
    const { entrance, waiting } = closedEntrance();
    const server = await listenHolding(held, { entrance });
    const caller = await RawCaller.open(server.port);
    caller.send(request("/1"));
    await until(() => waiting.length === 1);
    server.startDraining();
    server.stopListening();
    waiting[0]?.(refused);
    await settle();
    held.answerAll();
    await caller.closed;
    t.deepEqual(held.forwarded, refused ? [] : ["/1"]);
    t.deepEqual(caller.statuses, [refused ? 503 : 200]);
    t.is(caller.error, undefined);
    await server.close();
  });
}
