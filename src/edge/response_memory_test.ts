import test from "ava";
import { SystemClock } from "../core/mod.ts";
import { ByteBudget } from "../decisions/memory/mod.ts";
import type { EndpointResponse } from "./flow_result.ts";
import { HttpEndpointSender } from "./http_endpoint_sender.ts";
import type { CallerRequest } from "./request_context.ts";
import { HeldRequests, listenHolding, until } from "./testing/held_requests.ts";
import { PlainCodec } from "./testing/plain_codec.ts";
import { RawCaller } from "./testing/raw_caller.ts";
import { RecordedLog } from "./testing/recorded_log.ts";
import { listenScripted, type Script } from "./testing/scripted_endpoint.ts";
import { endpointRow } from "./testing/traffic_fixtures.ts";

const REQUEST_ID = "q1";
const RESPONSE_BYTES = 200_000;
const BUDGET_BYTES = 500_000;
/** What an endpoint keeps back until a test has it sent. */
const REST = "rest";

/** The beginning of a response that lacks its last bytes. */
const beginResponse: Script = (socket) => {
  const begun = "x".repeat(RESPONSE_BYTES - REST.length);
  socket.write(
    `HTTP/1.1 200 OK\r\nid: ${REQUEST_ID}\r\nsigned: yes\r\n` +
      `Content-Length: ${RESPONSE_BYTES}\r\n\r\n${begun}`,
  );
};

/** An instance's listener before an endpoint, with a small budget. */
async function listenBefore(script: Script) {
  const endpoint = await listenScripted(script);
  const row = endpointRow({ address: endpoint.address });
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const memory = new ByteBudget(BUDGET_BYTES);
  const handle = ({ body, mayBuffer }: CallerRequest) =>
    sender.send(row, {
      method: "GET",
      path: "/1",
      headers: ["id", REQUEST_ID],
      body,
      requestId: REQUEST_ID,
      maySend: () => true,
      mayConnect: () => true,
      mayBuffer,
      onHead: () => {},
    }).result as Promise<EndpointResponse>;
  const log = new RecordedLog();
  const server = await listenHolding(new HeldRequests(), {
    memory,
    handle,
    log,
  });
  const close = async () => {
    await server.close();
    sender.close();
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
