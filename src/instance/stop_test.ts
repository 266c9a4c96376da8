import test from "ava";
import { Agent, request } from "undici";
import { Client } from "../client/mod.ts";
import { MAX_REUSE_MS } from "../decisions/lookup/mod.ts";
import type { Instance } from "./instance.ts";
import { FLEET_KEY, LocalFleet } from "./testing/local_fleet.ts";

const WORK_MS = 20;
const CALLERS = 6;
const LEAVING_CALLS = 10;
/**
 * Until when calls to a leaving instance begin: those that begin at the end of
 * the leave notice may find its listener closed.
 */
const LEAVING_MS = MAX_REUSE_MS / 2;
const PAUSE_MS = 10;
const LONG_DEADLINE_MS = 5_000;
/** How often an operator polls whether a replacement is settled. */
const STATUS_POLL_MS = 50;

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Waits as operators do: a seat that changed hands is vacant for a while. */
async function waitUntilSettled(replacement: Instance): Promise<void> {
  while (!replacement.status().settled) await pause(STATUS_POLL_MS);
}

/** Sends requests until ended and records the failures. */
class LoadGenerator {
  readonly failures: string[] = [];
  readonly operations: string[] = [];
  answered = 0;
  #ended = false;
  #loops: Promise<void>[] = [];

  start(url: string): void {
    this.#loops = Array.from({ length: CALLERS }, (_, i) => this.#loop(url, i));
  }

  async end(): Promise<void> {
    this.#ended = true;
    await Promise.all(this.#loops);
  }

  async #loop(url: string, caller: number): Promise<void> {
    const client = new Client({ seeds: [url], key: FLEET_KEY });
    for (let n = 0; !this.#ended; n++) {
      const id = `${caller}-${n}`;
      const idempotent = n % 3 !== 0;
      const answer = await client.send({
        service: "s",
        method: idempotent ? "GET" : "POST",
        path: `/${id}`,
        timeoutMs: LONG_DEADLINE_MS,
        idempotent,
        ...(idempotent ? {} : { body: id, operationId: id }),
      });
      if (!idempotent) this.operations.push(id);
      if (answer.isErr()) this.failures.push(answer.error.message);
      else this.answered += 1;
      await pause(PAUSE_MS);
    }
    await client.close();
  }
}

test("replacing every instance under load loses no request", async (t) => {
  // In a rolling update each instance stops once its replacement runs. Requests
  // in flight and requests on reused connections must not fail. The first seat
  // stays vacant longer than both stops take, so that an operator who did not
  // wait for it would leave the zone without a slot.
  const fleet = await LocalFleet.open({
    endpoints: 3,
    seats: 2,
    workMs: WORK_MS,
    deadlineMs: LONG_DEADLINE_MS,
  });
  t.teardown(() => fleet.close());
  const first = await fleet.start("i1");
  const second = await fleet.start("i2");
  await pause(1_500);
  const load = new LoadGenerator();
  t.teardown(() => load.end());
  load.start(first.callerUrl);
  await pause(500);
  const third = await fleet.start("i3");
  await first.stop();
  await waitUntilSettled(third);
  await fleet.start("i4");
  await second.stop();
  await pause(500);
  await load.end();
  t.deepEqual(load.failures, []);
  t.true(load.answered > 100);
  const runs = fleet.endpoints.flatMap((e) => [...e.runs.values()]);
  t.is(runs.length, load.operations.length);
  t.true(runs.every((n) => n === 1));
});

test("a keep-alive connection is not cut while its instance leaves", async (t) => {
  // A caller without the library sends occasional requests on one connection.
  // Responses carry `connection: close`; no request is cut.
  const fleet = await LocalFleet.open({ endpoints: 1, seats: 1, workMs: 5 });
  t.teardown(() => fleet.close());
  const instance = await fleet.start("i1");
  await pause(1_000);
  const agent = new Agent({ connections: 1, pipelining: 1 });
  const send = async () => {
    const res = await request(`${instance.callerUrl}/services/s/x`, {
      headers: { authorization: `Bearer ${FLEET_KEY}` },
      dispatcher: agent,
    });
    await res.body.dump();
    return { status: res.statusCode, connection: res.headers["connection"] };
  };
  t.deepEqual(await send(), { status: 200, connection: "keep-alive" });
  const leavingUntil = performance.now() + LEAVING_MS;
  const stopped = instance.stop();
  for (let i = 0; i < LEAVING_CALLS; i++) {
    if (i > 0 && performance.now() > leavingUntil) break;
    t.deepEqual(await send(), { status: 200, connection: "close" });
  }
  await stopped;
  await agent.close();
});
