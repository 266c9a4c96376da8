import test from "ava";
import { request } from "undici";
import type { EndpointId } from "../core/mod.ts";
import { hopFields } from "./hop_headers.ts";
import { HeldRequests, listenHolding } from "./testing/held_requests.ts";
import { PlainCodec } from "./testing/plain_codec.ts";
import { responded } from "./testing/scripted_sender.ts";

/** Passes on all fields of a response. */
class TransparentCodec extends PlainCodec {
  override callerHeaders(headers: readonly string[]): string[] {
    return [...headers];
  }
}

const HOP = { from: "i1", planVersion: 1, attempts: 0, counted: true };

/** Fields of the response to an instance, where the endpoint sends these. */
async function fieldsPassedOn(
  sent: string[],
): Promise<Record<string, unknown>> {
  const result = responded();
  if (result.kind !== "answer") throw new Error("not an answer");
  const endpoint = "e1" as EndpointId;
  const server = await listenHolding(new HeldRequests(), {
    codec: new TransparentCodec(),
    fromPeers: true,
    handle: () => Promise.resolve({ ...result, headers: sent, endpoint }),
  });
  const fields = hopFields(HOP);
  const res = await request(`http://127.0.0.1:${server.port}/`, {
    headers: fields,
  });
  await res.body.dump();
  await server.close();
  return res.headers;
}

// Guards against an endpoint whose response passes for the refusal of an
// instance, after which a request that ran would be sent again.
test("an endpoint cannot set the fields between instances", async (t) => {
  const fields = await fieldsPassedOn([
    "magnoliahook-declined",
    "1",
    "Magnoliahook-Endpoint",
    "e2",
    "other",
    "kept",
  ]);
  t.is(fields["magnoliahook-declined"], undefined);
  t.is(fields["magnoliahook-endpoint"], "e1");
  t.is(fields["other"], "kept");
});
