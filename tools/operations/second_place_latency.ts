/**
 * Measures the latency that at-most-once execution adds: the same operations by
 * `LocalOperations` and by `HomeOperations` with the backup replica at a peer, at a
 * peer after a forward, and in the store. Uses real sockets on loopback; the
 * variants alternate per request, so that machine load affects all alike.
 *
 * `node --import=tsx tools/operations/second_place_latency.ts --requests 2000`
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { parseArgs } from "node:util";
import { build, type Histogram } from "hdr-histogram-js";
import { err, ok } from "neverthrow";
import {
  type AccountId,
  type InstanceId,
  MemoryMetrics,
  type OperationId,
  type ServiceId,
  SilentLog,
  SystemClock,
  SystemRandom,
  type ZoneId,
} from "../../src/core/mod.ts";
import { HttpEndpointClient } from "../../src/endpoints/mod.ts";
import {
  BatchSchema,
  type Sender,
  SenderSchema,
} from "../../src/gen/peer_pb.ts";
import {
  HomeOperations,
  LocalOperations,
  type OperationRequest,
  type OperationRunner,
  type Operations,
} from "../../src/operations/mod.ts";
import { ConnectPeerTransport, peerListener } from "../../src/peers/mod.ts";
import { HttpPlatform } from "../../src/store/mod.ts";
import { EndpointServer } from "../standins/endpoint_server.ts";
import { StoreServer } from "../standins/store_server.ts";

const { values } = parseArgs({
  options: {
    requests: { type: "string", default: "2000" },
    "work-ms": { type: "string", default: "5" },
  },
});
const REQUESTS = Number(values.requests);
const CONCURRENCIES = [1, 8, 32];
const BATCH_INTERVAL_MS = 100;
const WARM_UP = 200;
/** The store's object holds 3,000 records, and each write carries them all. */
const STORE_ROUND_INTERVAL = 8;
const US_PER_MS = 1_000;

const clock = new SystemClock();
const random = new SystemRandom();
const endpoint = await EndpointServer.open({
  id: "e1",
  service: "s1",
  seed: 1,
  slots: 1_000,
  workMs: Number(values["work-ms"]),
});
const endpoints = new HttpEndpointClient();
const store = await StoreServer.open();
const runner: OperationRunner = { maxRunMs: () => 5_000, run: send };

async function send(req: OperationRequest) {
  const answer = await endpoints.send({
    url: endpoint.url,
    method: req.method,
    path: req.path,
    headers: { "idempotency-key": req.id },
    body: req.body,
    account: req.account,
    timeoutMs: 5_000,
    signal: new AbortController().signal,
  });
  if (answer.isErr()) return err(answer.error);
  const { status, headers, body } = answer.value;
  const chunks = await body.toArray();
  return ok({ status, headers, body: new Uint8Array(chunks[0]) });
}

interface Node {
  readonly operations: HomeOperations;
  readonly server: Server;
  readonly sender: Sender;
  readonly transport: ConnectPeerTransport;
}

async function startNode(instance: string, zone: string): Promise<Node> {
  const incarnation = random.hex(8);
  const transport = new ConnectPeerTransport();
  const region = "r1";
  const operations = new HomeOperations({
    self: { instance, incarnation, zone, region },
    clock,
    random,
    metrics: new MemoryMetrics(),
    log: new SilentLog(),
    transport,
    platform: new HttpPlatform({
      baseUrl: store.url,
      metrics: new MemoryMetrics(),
    }),
    seats: {
      held: () => [],
      entries: () => [{
        zone: zone as ZoneId,
        index: 0,
        holder: instance as InstanceId,
        incarnation,
        epoch: 1,
      }],
    },
    runner,
  });
  const server = createServer(
    peerListener({ ledger: operations }),
  );
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const sender = create(SenderSchema, {
    instance,
    zone,
    region,
    incarnation,
    peerUrl: `http://127.0.0.1:${port}`,
  });
  return { operations, server, sender, transport };
}

/** Delivers the batches that instances send each tick, in memory. */
function exchangeBatches(nodes: readonly Node[]): void {
  for (const from of nodes) {
    from.operations.sweep(clock.now());
    for (const to of nodes) {
      if (from === to) continue;
      const batch = create(BatchSchema, { sender: from.sender });
      from.operations.fill(batch, to.sender.instance);
      to.operations.receive(batch, from.sender);
    }
  }
}

interface Variant {
  readonly name: string;
  readonly operations: Operations;
  readonly home: () => string | undefined;
  /** Runs in one round out of this many; all by default. */
  readonly every?: number;
}

let count = 0;

async function measureOperation(
  variant: Variant,
  histogram: Histogram,
): Promise<void> {
  const home = variant.home();
  const startedAt = clock.now();
  const result = await variant.operations.run({
    account: "a1" as AccountId,
    id: `op-${count++}` as OperationId,
    hasGeneratedId: false,
    fingerprint: "f",
    service: "s1" as ServiceId,
    method: "POST",
    path: "/work",
    headers: {},
    body: new TextEncoder().encode("x".repeat(200)),
    maxWaitMs: 5_000,
    ...(home ? { home } : {}),
  });
  if (result.isErr()) {
    throw new Error(`${variant.name}: ${result.error.message}`);
  }
  histogram.recordValue(Math.round((clock.now() - startedAt) * US_PER_MS));
}

async function measure(variants: readonly Variant[], parallel: number) {
  const histograms = variants.map(() => build());
  const worker = async (rounds: number, into: Histogram[]) => {
    for (let i = 0; i < rounds; i++) {
      for (const [n, variant] of variants.entries()) {
        if (i % (variant.every ?? 1) !== 0) continue;
        await measureOperation(variant, into[n]!);
      }
    }
  };
  const rounds = Math.ceil(REQUESTS / parallel);
  await worker(
    Math.ceil(WARM_UP / variants.length),
    variants.map(() => build()),
  );
  await Promise.all(
    Array.from({ length: parallel }, () => worker(rounds, histograms)),
  );
  return variants.map((variant, n) => {
    const at = (p: number) =>
      histograms[n]!.getValueAtPercentile(p) / US_PER_MS;
    const { name } = variant;
    const requests = histograms[n]!.totalCount;
    return { parallel, name, requests, p50_ms: at(50), p99_ms: at(99) };
  });
}

const nodes = [await startNode("i1", "z1"), await startNode("i2", "z2")];
const isolated = await startNode("i3", "z3");
const [first, second] = nodes as [Node, Node];
const timer = setInterval(() => exchangeBatches(nodes), BATCH_INTERVAL_MS);
exchangeBatches(nodes);
const home = () => first.operations.homeTokenOf("i1");
const variants: Variant[] = [
  {
    name: "local",
    operations: new LocalOperations(runner),
    home: () => undefined,
  },
  { name: "peer", operations: first.operations, home },
  { name: "forwarded", operations: second.operations, home },
  {
    name: "store",
    operations: isolated.operations,
    home: () => isolated.operations.homeTokenOf("i3"),
    every: STORE_ROUND_INTERVAL,
  },
];
const report = [];
for (const parallel of CONCURRENCIES) {
  report.push(...await measure(variants, parallel));
}
console.table(report);
console.log(JSON.stringify({ work_ms: Number(values["work-ms"]), report }));
clearInterval(timer);
for (const node of [...nodes, isolated]) {
  node.server.closeAllConnections();
  node.server.close();
  await node.transport.close();
}
await endpoints.close();
await endpoint.close();
await store.close();
process.exitCode = 0;
