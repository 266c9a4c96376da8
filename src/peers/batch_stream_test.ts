import test from "ava";
import { create } from "@bufbuild/protobuf";
import type { Client } from "@connectrpc/connect";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { ManualClock } from "../core/mod.ts";
import { type Batch, BatchSchema, type PeerService } from "../gen/peer_pb.ts";
import { BatchStream } from "./batch_stream.ts";
import { batchListener, ConnectPeerTransport } from "./connect_transport.ts";
import { PeerServer } from "./peer_server.ts";

function batch(instance: string): Batch {
  return create(BatchSchema, { sender: { instance } });
}

async function openServer(port = 0): Promise<PeerServer> {
  const opened = await PeerServer.open({
    host: "127.0.0.1",
    port,
    http1: (_req, res) => res.end("http1"),
    http2: batchListener((b) => batch(`to ${b.sender?.instance}`)),
  });
  return opened._unsafeUnwrap();
}

function nameOf(answer: Batch): string | undefined {
  return answer.sender?.instance;
}

test("batches and unary calls share one port", async (t) => {
  const server = await openServer();
  const transport = new ConnectPeerTransport();
  for (const name of ["a", "b", "c"]) {
    const answer = await transport.exchange(server.url, batch(name));
    t.is(nameOf(answer._unsafeUnwrap()), `to ${name}`);
  }
  t.is(await (await fetch(server.url)).text(), "http1");
  await transport.close();
  await server.close();
});

test("the stream is reopened after a peer restarts on the same port", async (t) => {
  // A peer's process is replaced. If the broken stream were kept, the two would
  // exchange nothing until one of them restarts.
  const server = await openServer();
  const transport = new ConnectPeerTransport();
  await transport.exchange(server.url, batch("a"));
  await server.close();
  const lost = await transport.exchange(server.url, batch("b"));
  t.is(lost._unsafeUnwrapErr().code, "peer_unavailable");
  const again = await openServer(Number(new URL(server.url).port));
  const answer = await transport.exchange(server.url, batch("c"));
  t.is(nameOf(answer._unsafeUnwrap()), "to c");
  await transport.close();
  await again.close();
});

test("an exchange fails if no process listens at the URL", async (t) => {
  const closed = createServer();
  await new Promise<void>((resolve) => closed.listen(0, "127.0.0.1", resolve));
  const { port } = closed.address() as AddressInfo;
  await new Promise((resolve) => closed.close(resolve));
  const transport = new ConnectPeerTransport();
  const lost = await transport.exchange(`http://127.0.0.1:${port}`, batch("a"));
  t.is(lost._unsafeUnwrapErr().code, "peer_unavailable");
  await transport.close();
});

test("a late answer is never taken for the answer to the next batch", async (t) => {
  // A paused peer answers after the time-out. On the same stream its answer
  // would be taken for that to the next batch, and leases would be counted from
  // a request that did not ask for them.
  const clock = new ManualClock();
  const streams: { answer: (b: Batch) => void }[] = [];
  const client = {
    converse: (
      _batches: AsyncIterable<Batch>,
      { signal }: { signal: AbortSignal },
    ) => ({
      [Symbol.asyncIterator]: () => ({
        next: () =>
          new Promise((resolve, reject) => {
            const answer = (value: Batch) => resolve({ done: false, value });
            streams.push({ answer });
            signal.addEventListener(
              "abort",
              () => reject(new Error("aborted")),
            );
          }),
      }),
    }),
  } as unknown as Client<typeof PeerService>;
  const stream = new BatchStream({ client, clock, timeoutMs: 100 });
  const first = stream.exchange(batch("a"));
  clock.advance(100);
  t.is((await first)._unsafeUnwrapErr().code, "peer_unavailable");
  const second = stream.exchange(batch("b"));
  streams[0]?.answer(batch("late"));
  streams[1]?.answer(batch("own"));
  t.is(nameOf((await second)._unsafeUnwrap()), "own");
});
