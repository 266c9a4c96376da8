import test from "ava";
import * as fc from "fast-check";
import { ServerResponse } from "node:http";
import { failure, SystemClock } from "../core/mod.ts";
import type { SendResult } from "./endpoint_sender.ts";
import type { FlowResult } from "./flow_result.ts";
import { hopFields } from "./hop_headers.ts";
import { HttpEndpointSender } from "./http_endpoint_sender.ts";
import type { RequestHandler } from "./request_intake.ts";
import { isValidHead } from "./response_head.ts";
import { forwardTo } from "./testing/forward_to.ts";
import { HeldRequests, listenHolding, until } from "./testing/held_requests.ts";
import { outgoing } from "./testing/outgoing_request.ts";
import { PlainCodec } from "./testing/plain_codec.ts";
import { RawCaller } from "./testing/raw_caller.ts";
import { listenScripted } from "./testing/scripted_endpoint.ts";
import { endpointRow } from "./testing/traffic_fixtures.ts";

const FIELDS = "id: q1\r\nsigned: yes\r\nContent-Length: 2\r\n";

const ENDPOINT_FAILED: FlowResult = {
  kind: "refusal",
  failure: failure("endpoint_failed", "malformed", { outcome: "unknown" }),
};

/** A whole, signed response with a status, and further fields. */
function responseOf(status: string, fields = ""): string {
  return `HTTP/1.1 ${status} X\r\n${FIELDS}${fields}\r\nok`;
}

const MALFORMED: Record<string, string> = {
  "status 000": responseOf("000"),
  "status 001": responseOf("001"),
  "status 099": responseOf("099"),
  "status 600": responseOf("600"),
  "status 700": responseOf("700"),
  "status 999": responseOf("999"),
  "status 20": responseOf("20"),
  "status 1000": responseOf("1000"),
  "status 2OO": responseOf("2OO"),
  "status -20": responseOf("-20"),
  "no status": `HTTP/1.1 \r\n${FIELDS}\r\nok`,
  "another protocol": responseOf("101"),
  "an upgrade": responseOf("101", "Connection: Upgrade\r\nUpgrade: x\r\n"),
  "a field without a name": responseOf("200", ": v\r\n"),
  "a space in a field's name": responseOf("200", "X Sp: v\r\n"),
  "a control character in a field": responseOf("200", "x: a\x01b\r\n"),
};

/** The result of a request to an endpoint that responds with these bytes. */
async function sendTo(response: string): Promise<SendResult> {
  const endpoint = await listenScripted((s) => s.write(response));
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: endpoint.address });
  const { result } = sender.send(row, outgoing());
  const settled = await result;
  sender.close();
  endpoint.close();
  return settled;
}

// Guards against a response that is none and is taken for the endpoint's.
for (const [name, response] of Object.entries(MALFORMED)) {
  test(`${name}: the response is malformed`, async (t) => {
    const result = await sendTo(response);
    t.is(result.kind, "unknown");
    const isMalformed = result.kind === "unknown" &&
      ["malformed", "broken"].includes(result.reason);
    t.true(isMalformed, JSON.stringify(result));
  });
}

// Guards against a caller that gets no answer, or one whose status is none.
test("a caller gets 502 in place of a malformed response", async (t) => {
  for (const fromPeers of [false, true]) {
    for (const [name, response] of Object.entries(MALFORMED)) {
      const endpoint = await listenScripted((s) => s.write(response));
      const { handle: forward, close } = forwardTo(endpoint.address);
      const handle: RequestHandler = async (req) => {
        const result: SendResult | FlowResult = await forward(req);
        return result.kind === "answer" ? result : ENDPOINT_FAILED;
      };
      const server = await listenHolding(new HeldRequests(), {
        handle,
        fromPeers,
      });
      const caller = await RawCaller.open(server.port);
      const hop = hopFields({
        from: "i1",
        planVersion: 1,
        attempts: 0,
        counted: true,
      });
      const pairs = hop.filter((_, i) => i % 2 === 0)
        .map((field, i) => `${field}: ${hop[2 * i + 1]}\r\n`);
      const fields = fromPeers ? pairs.join("") : "";
      caller.send(`GET / HTTP/1.1\r\nHost: h\r\n${fields}\r\n`);
      await until(() => caller.statuses.length > 0 || caller.socket.closed);
      t.deepEqual(caller.statuses, [502], `${name}, ${fromPeers}`);
      caller.close();
      close();
      endpoint.close();
      await server.close();
    }
  }
});

// Guards against a header that is let in and that the writer then refuses.
test("every header that is valid can be written", (t) => {
  const field = fc.tuple(
    fc.oneof(fc.string({ maxLength: 6 }), fc.constantFrom("x-a", "", "a b")),
    fc.oneof(
      fc.string({ unit: "binary", maxLength: 8 }),
      fc.constantFrom("\x7f", "\xff", "a\tb", "a\nb"),
    ),
  );
  const canWrite = (status: number, headers: string[]) => {
    const res = new ServerResponse({ method: "GET" } as never);
    try {
      res.writeHead(status, headers);
      return true;
    } catch {
      return false;
    }
  };
  fc.assert(
    fc.property(
      fc.integer({ min: 0, max: 1_000 }),
      fc.array(field, { maxLength: 4 }),
      (status, fields) => {
        const headers = fields.flat();
        return !isValidHead(status, headers) || canWrite(status, headers);
      },
    ),
    { seed: 1, numRuns: 2_000 },
  );
  t.pass();
});

// Guards against an endpoint whose malformed responses count as good ones.
test("a malformed response is followed by a sound one on another connection", async (t) => {
  const endpoint = await listenScripted((s) =>
    s.write(
      endpoint.connections() === 1 ? responseOf("000") : responseOf("200"),
    )
  );
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: endpoint.address });
  const results: string[] = [];
  for (let i = 0; i < 2; i++) {
    results.push((await sender.send(row, outgoing()).result).kind);
  }
  t.deepEqual(results, ["unknown", "answer"]);
  t.is(endpoint.connections(), 2);
  sender.close();
  endpoint.close();
});
