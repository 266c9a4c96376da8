import test from "ava";
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { ManualClock, SystemClock } from "../core/mod.ts";
import type { BodyRemainder, BodySink } from "./endpoint_sender.ts";
import { HttpEndpointSender } from "./http_endpoint_sender.ts";
import { type StreamEnd, withDeadline } from "./remainder_deadline.ts";
import { outgoing } from "./testing/outgoing_request.ts";
import { PlainCodec } from "./testing/plain_codec.ts";
import { responded, ScriptedSender } from "./testing/scripted_sender.ts";
import { listenScripted } from "./testing/scripted_endpoint.ts";
import { RequestPath } from "./testing/request_path.ts";
import { endpointRow } from "./testing/traffic_fixtures.ts";

/** A remainder that sends what the test tells it to. */
class ScriptedRemainder implements BodyRemainder {
  sink: BodySink | undefined;
  cancelled = false;

  pipe(sink: BodySink): void {
    this.sink = sink;
  }

  resume(): void {}

  cancel(): void {
    this.cancelled = true;
    // As a sender does when its connection is destroyed.
    this.sink?.fail("cut");
  }
}

/** Records what a caller gets. */
class RecordedSink implements BodySink {
  readonly events: string[] = [];
  /** Whether the caller reads on. */
  reads = true;

  data(chunk: Buffer): boolean {
    this.events.push(chunk.toString());
    return this.reads;
  }

  end(): void {
    this.events.push("end");
  }

  fail(reason: string): void {
    this.events.push(`fail ${reason}`);
  }
}

/** The request path with one streamed response; the client timeout is 1 s. */
async function streamed(remainder: BodyRemainder) {
  const result = responded();
  if (result.kind !== "answer") throw new Error("not an answer");
  const body = { bytes: Buffer.from("begin"), remainder };
  const path = new RequestPath({
    sender: new ScriptedSender({ ...result, body }),
  });
  const answer = await path.send({ clientTimeoutMs: 1_000 });
  if (answer.kind !== "answer") throw new Error("not an answer");
  return { path, rest: answer.body.remainder };
}

// Guards against a caller, and a slot of the endpoint, that are held for good by
// an endpoint that stops sending in the middle of a response.
test("a streamed response fails at the request's deadline", async (t) => {
  const remainder = new ScriptedRemainder();
  const { path, rest } = await streamed(remainder);
  const sink = new RecordedSink();
  rest?.pipe(sink);
  remainder.sink?.data(Buffer.from("more"));
  path.clock.advance(900);
  t.deepEqual(sink.events, ["more"]);
  path.clock.advance(100);
  t.true(remainder.cancelled);
  t.deepEqual(sink.events, ["more", "fail deadline"]);
});

// Guards against a response that is never piped, as its caller has gone, and
// holds its connection for good.
test("a streamed response that nobody reads is cancelled at the deadline", async (t) => {
  const remainder = new ScriptedRemainder();
  const { path, rest } = await streamed(remainder);
  path.clock.advance(1_000);
  t.true(remainder.cancelled);
  const sink = new RecordedSink();
  rest?.pipe(sink);
  t.deepEqual(sink.events, ["fail deadline"]);
});

// Guards against connections that are closed after a complete response.
test("a streamed response that has ended is not cancelled", async (t) => {
  const remainder = new ScriptedRemainder();
  const { path, rest } = await streamed(remainder);
  const sink = new RecordedSink();
  rest?.pipe(sink);
  remainder.sink?.end();
  path.clock.advance(10_000);
  t.false(remainder.cancelled);
  t.deepEqual(sink.events, ["end"]);
});

// Guards against cancelled responses that are counted as expired.
test("a streamed response that was cancelled does not expire", (t) => {
  const clock = new ManualClock();
  const ends: StreamEnd[] = [];
  const rest = withDeadline(new ScriptedRemainder(), {
    leftMs: 10,
    clock,
    onEnd: (end) => ends.push(end),
  });
  rest.cancel();
  clock.advance(1_000);
  t.deepEqual(ends, []);
});

// Guards against an endpoint that is held by a connection nobody reads.
test("the connection of an endpoint that falls silent is closed", async (t) => {
  const length = 400_000;
  const endpoint = await listenScripted((socket) => {
    const head = `id: q1\r\nsigned: yes\r\nContent-Length: ${length}\r\n`;
    socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n`);
    socket.write(Buffer.alloc(length - 1));
  });
  const clock = new SystemClock();
  const sender = new HttpEndpointSender(new PlainCodec(), clock);
  const row = endpointRow({ address: endpoint.address });
  const result = await sender.send(row, outgoing()).result;
  const remainder = result.kind === "answer"
    ? result.body.remainder
    : undefined;
  if (remainder === undefined) return t.fail("the response is not streamed");
  const sink = new RecordedSink();
  const closed = once(endpoint.sockets[0]!, "close");
  withDeadline(remainder, { leftMs: 50, clock, onEnd: () => {} }).pipe(sink);
  await closed;
  t.is(sink.events.at(-1), "fail deadline");
  sender.close();
  endpoint.close();
});

const CHUNK = Buffer.from("more");

const ENDS: readonly {
  readonly name: string;
  readonly run: (
    stream: ScriptedRemainder,
    caller: RecordedSink,
    opts: { readonly rest: BodyRemainder; readonly clock: ManualClock },
  ) => void;
  readonly want: readonly StreamEnd[];
}[] = [
  {
    name: "a stream that ends in time",
    run: ({ sink }) => sink?.end(),
    want: ["complete"],
  },
  {
    name: "a stream that the endpoint cuts",
    run: ({ sink }) => sink?.fail("cut"),
    want: ["failed"],
  },
  {
    name: "a stream without end that the caller reads",
    run: ({ sink }, _caller, { clock }) => {
      for (let i = 0; i < 20; i++) {
        sink?.data(CHUNK);
        clock.advance(10);
      }
    },
    want: ["late"],
  },
  {
    name: "a stream that stalls",
    run: (_stream, _caller, { clock }) => clock.advance(200),
    want: ["late"],
  },
  {
    name: "a stream that the caller reads after short waits",
    run: ({ sink }, caller, { rest, clock }) => {
      caller.reads = false;
      for (let i = 0; i < 20; i++) {
        sink?.data(CHUNK);
        clock.advance(2);
        rest.resume();
        clock.advance(8);
      }
    },
    want: ["late"],
  },
  {
    name: "a stream that the caller reads slowly",
    run: ({ sink }, caller, { rest, clock }) => {
      caller.reads = false;
      for (let i = 0; i < 20; i++) {
        sink?.data(CHUNK);
        clock.advance(9);
        rest.resume();
        clock.advance(1);
      }
    },
    want: ["unread"],
  },
];

for (const { name, run, want } of ENDS) {
  // Guards against blaming an endpoint for its caller, and the reverse.
  test(`${name} ends as ${want.join()}`, (t) => {
    const clock = new ManualClock();
    const stream = new ScriptedRemainder();
    const caller = new RecordedSink();
    const ends: StreamEnd[] = [];
    const onEnd = (end: StreamEnd) => void ends.push(end);
    const rest = withDeadline(stream, { leftMs: 100, clock, onEnd });
    rest.pipe(caller);
    run(stream, caller, { rest, clock });
    t.deepEqual(ends, want);
  });
}

/** Sends requests of one affinity key; returns the endpoints they went to. */
async function sendStreamed(
  count: number,
  end: (remainder: ScriptedRemainder, path: RequestPath) => void,
): Promise<readonly string[]> {
  let remainder = new ScriptedRemainder();
  const streams = () => {
    const result = responded();
    if (result.kind !== "answer") return result;
    remainder = new ScriptedRemainder();
    return { ...result, body: { bytes: CHUNK, remainder } };
  };
  const sender = new ScriptedSender().answers(streams);
  const path = new RequestPath({ sender });
  for (let i = 0; i < count; i++) {
    const answer = await path.send({ clientTimeoutMs: 1_000 });
    if (answer.kind !== "answer") throw new Error("not an answer");
    answer.body.remainder?.pipe(new RecordedSink());
    end(remainder, path);
  }
  return sender.sent.map(({ endpoint }) => endpoint);
}

// Guards against an endpoint in trouble that keeps its share of the requests, as
// its responses begin well and never end.
test("an endpoint whose streamed responses do not end is ejected", async (t) => {
  const endless = await sendStreamed(8, (_stream, { clock }) => {
    clock.advance(1_000);
  });
  t.is(new Set(endless).size, 2);
  const truncated = await sendStreamed(8, ({ sink }) => sink?.fail("cut"));
  t.is(new Set(truncated).size, 2);
  const complete = await sendStreamed(8, ({ sink }) => sink?.end());
  t.is(new Set(complete).size, 1);
});
