import test from "ava";
import { Buffer } from "node:buffer";
import { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { CancelSource, ManualClock } from "../core/mod.ts";
import { ByteBudget } from "../decisions/memory/mod.ts";
import { type BodyFailure, readBody } from "./request_body.ts";

const TIMEOUT_MS = 100;
const CHUNK_BYTES = 100_000;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** A body in chunks that is read; `send` refers to a chunk without holding it. */
function beginBody() {
  const req = new IncomingMessage(new Socket());
  const clock = new ManualClock();
  const signal = new CancelSource();
  const memory = new ByteBudget(10 * CHUNK_BYTES);
  const result = readBody(req, { kind: "open" }, {
    maxBytes: 4 * CHUNK_BYTES,
    memory: memory.open(),
    rank: 0,
    timeoutMs: TIMEOUT_MS,
    clock,
    signal,
  });
  const send = (bytes = CHUNK_BYTES) => {
    const chunk = Buffer.alloc(bytes, "x");
    req.push(chunk);
    return new WeakRef(chunk);
  };
  return { req, clock, signal, memory, result, send };
}

type StartedBody = ReturnType<typeof beginBody>;

const FAILURES: readonly {
  readonly why: BodyFailure;
  readonly fail: (body: StartedBody) => void;
}[] = [
  {
    why: "no_memory",
    fail: ({ memory, send }) => {
      memory.open().add(10 * CHUNK_BYTES);
      send();
    },
  },
  {
    why: "too_large",
    fail: ({ send }) => {
      for (let i = 0; i < 4; i++) send();
    },
  },
  { why: "late", fail: ({ clock }) => clock.advance(TIMEOUT_MS) },
  { why: "gone", fail: ({ signal }) => signal.abort() },
];

for (const { why, fail } of FAILURES) {
  // Guards against refused uploads that stay in memory, uncounted, until the
  // rest of them has arrived: with many of them the process was killed.
  test(`what arrived of a body that fails is freed at once: ${why}`, async (t) => {
    const body = beginBody();
    const first = body.send();
    await nextTurn();
    fail(body);
    t.is(await body.result, why);
    await nextTurn();
    collectGarbage();
    t.is(first.deref(), undefined);
    body.req.destroy();
  });
}

// Guards against bodies in many small chunks, each of which takes some hundred
// bytes besides its content: 24 of 400 kB ended a process of 250 MB.
test("small chunks are not kept one by one", async (t) => {
  const body = beginBody();
  const first = body.send(1);
  for (let i = 0; i < 99_999; i++) body.send(1);
  await nextTurn();
  collectGarbage();
  t.is(first.deref(), undefined);
  body.req.push(null);
  const result = await body.result;
  t.true(typeof result !== "string" && result.length <= 10);
  t.is(Buffer.concat(result as Buffer[]).length, 100_000);
});
