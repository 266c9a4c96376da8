import test from "ava";
import { ByteBudget } from "../decisions/memory/mod.ts";
import { FORWARDED_ID, forwardTo } from "./testing/forward_to.ts";
import { HeldRequests, listenHolding, until } from "./testing/held_requests.ts";
import { RawCaller } from "./testing/raw_caller.ts";
import { RecordedLog } from "./testing/recorded_log.ts";
import { listenScripted, type Script } from "./testing/scripted_endpoint.ts";

const RESPONSE_BYTES = 200_000;
const BUDGET_BYTES = 500_000;
/** What an endpoint keeps back until a test has it sent. */
const REST = "rest";

/** The beginning of a response that lacks its last bytes. */
const beginResponse: Script = (socket) => {
  const begun = "x".repeat(RESPONSE_BYTES - REST.length);
  socket.write(
    `HTTP/1.1 200 OK\r\nid: ${FORWARDED_ID}\r\nsigned: yes\r\n` +
      `Content-Length: ${RESPONSE_BYTES}\r\n\r\n${begun}`,
  );
};

/** An instance's listener before an endpoint, with a small budget. */
async function listenBefore(script: Script) {
  const endpoint = await listenScripted(script);
  const forwarder = forwardTo(endpoint.address);
  const memory = new ByteBudget(BUDGET_BYTES);
  const log = new RecordedLog();
  const server = await listenHolding(new HeldRequests(), {
    memory,
    handle: forwarder.handle,
    log,
  });
  const close = async () => {
    await server.close();
    forwarder.close();
    endpoint.close();
  };
  return { endpoint, memory, log, server, close };
}

// Guards against responses that arrive slowly and together exceed the memory:
// 800 of 250 kB that lacked their last bytes ended a process of 250 MB.
test("responses are streamed once the budget has no room for them", async (t) => {
  const { endpoint, memory, log, server, close } = await listenBefore(
    beginResponse,
  );
  const callers: RawCaller[] = [];
  for (let i = 0; i < 5; i++) {
    const caller = await RawCaller.open(server.port);
    caller.get("/1");
    callers.push(caller);
  }
  await until(() => callers.some(({ text }) => text.length > 100_000));
  t.true(memory.usedBytes <= BUDGET_BYTES);
  t.true(memory.usedBytes >= RESPONSE_BYTES);
  // Those that are buffered can still be retried.
  t.true(callers.some(({ text }) => text === ""));
  t.true(log.of("response_streamed").length > 0);
  for (const socket of endpoint.sockets) socket.write(REST);
  const isDone = ({ text }: RawCaller) => text.includes(REST);
  await until(() => callers.every(isDone));
  await until(() => memory.usedBytes === 0);
  t.is(memory.usedBytes, 0);
  for (const caller of callers) caller.close();
  await close();
});
