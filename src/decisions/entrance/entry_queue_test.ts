import test from "ava";
import { EntryQueue, MAX_WAIT_MS, type QueuedRequest } from "./mod.ts";

interface Named extends QueuedRequest {
  readonly name: string;
}

function request(name: string, opts: Partial<QueuedRequest> = {}): Named {
  return { name, rank: 1, clientTimeoutMs: 4_000, isReady: true, ...opts };
}

function takeAll(queue: EntryQueue<Named>): string[] {
  const names = [];
  for (let next = queue.take(); next; next = queue.take()) {
    names.push(next.name);
  }
  return names;
}

test("the most urgent are started first, each rank in order of arrival", (t) => {
  const queue = new EntryQueue<Named>();
  queue.add(request("a", { rank: 2 }), 0);
  queue.add(request("b", { rank: 1 }), 1);
  queue.add(request("c", { rank: 2 }), 2);
  queue.add(request("d", { rank: 0 }), 3);
  queue.add(request("e", { rank: 1 }), 4);
  t.deepEqual(takeAll(queue), [
    "d",
    "b",
    "e",
    "a",
    "c",
  ]);
});

test("requests are not started before they are ready, or once removed", (t) => {
  const queue = new EntryQueue<Named>();
  let isReady = false;
  const waiting: Named = {
    name: "a",
    rank: 0,
    clientTimeoutMs: 1_000,
    get isReady() {
      return isReady;
    },
  };
  queue.add(waiting, 0);
  queue.add(request("b"), 0);
  t.is(queue.take()?.name, "b");
  t.is(queue.take(), undefined);
  isReady = true;
  queue.remove(waiting);
  t.is(queue.take(), undefined);
  t.is(queue.size, 0);
});

// Guards against callers that wait behind others until they have given up.
test("a request that would wait too long is refused when it arrives", (t) => {
  const queue = new EntryQueue<Named>();
  const now = 10_000;
  let refused = 0;
  const waits = [];
  for (let i = 0; i < 1_000; i++) {
    const why = queue.add(request(`${i}`), now);
    if (why === undefined) continue;
    refused++;
    waits.push(why.retryAfterMs ?? 0);
    t.is(why.outcome, "not-run");
  }
  t.is(queue.size, MAX_WAIT_MS + 1);
  t.is(refused, 1_000 - queue.size);
  // Spread, so that the callers do not return all at once.
  t.true(new Set(waits).size > 500);
  t.is(queue.add(request("urgent", { rank: 0 }), now), undefined);
  t.is(queue.take()?.name, "urgent");
});

test("callers with a short timeout are refused sooner", (t) => {
  const queue = new EntryQueue<Named>();
  for (let i = 0; i < 100; i++) queue.add(request(`${i}`), 0);
  t.truthy(queue.add(request("short", { clientTimeoutMs: 400 }), 0));
  t.is(queue.add(request("long"), 0), undefined);
});

test("slow starts make the queue shorter", (t) => {
  const queue = new EntryQueue<Named>();
  for (let i = 0; i < 200; i++) queue.add(request(`${i}`), 0);
  for (let i = 0; i < 100; i++) queue.take();
  t.is(queue.add(request("before"), 500), undefined);
  queue.recordStarts(100, 1_000);
  t.truthy(queue.add(request("after"), 1_000));
  queue.recordStarts(100, 20);
  t.is(queue.add(request("fast again"), 1_020), undefined);
});

test("a request that waits twice its longest wait is refused", (t) => {
  const queue = new EntryQueue<Named>();
  queue.add(request("a"), 0);
  queue.add(request("b"), 400);
  t.deepEqual(queue.expire(2 * MAX_WAIT_MS), []);
  const expired = queue.expire(2 * MAX_WAIT_MS + 1);
  t.deepEqual(expired.map(({ request }) => request.name), ["a"]);
  t.is(queue.size, 1);
});
