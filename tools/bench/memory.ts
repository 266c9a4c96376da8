/**
 * `npm run bench -- memory`: resident memory of the bundled program with a limit
 * of 250 MB, under loads that take memory, beside small requests.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { PROGRAM } from "../bundle/program.ts";
import { RUNTIME_FLAGS } from "../bundle/runtime_flags.ts";
import type { InstanceProcess } from "../process_soak/instance_process.ts";
import { residentBytes } from "./proc_stat.ts";
import { InstanceTestBed } from "../standins/instance_test_bed.ts";

const MEMORY_MB = 250;
const SMALL_PER_S = 80;
const LOAD_MS = 8_000;
const SAMPLE_MS = 10;
const BYTES_PER_MB = 1_048_576;
const BODY_HEAD = "POST /writes/1 HTTP/1.1\r\nHost: shop.example\r\n" +
  "X-Request-Id: bulk\r\nAuthorization: Token key-1\r\n" +
  "Transfer-Encoding: chunked\r\n\r\n";

/** Bytes that callers send on many connections. */
interface MemoryLoad {
  readonly name: string;
  readonly connections: number;
  readonly head: string;
  /** Sent again and again after the head. */
  readonly piece: Buffer;
  readonly pieces: number;
}

const LOADS: readonly MemoryLoad[] = [
  {
    name: "none",
    connections: 0,
    head: "",
    piece: Buffer.alloc(0),
    pieces: 0,
  },
  {
    name: "unused connections",
    connections: 3_500,
    head: "",
    piece: Buffer.alloc(0),
    pieces: 0,
  },
  {
    name: "headers of 15 kB without end",
    connections: 3_500,
    head: "GET /reads/1 HTTP/1.1\r\nHost: shop.example\r\nF: ",
    piece: Buffer.alloc(15_000, "f"),
    pieces: 1,
  },
  {
    name: "headers of 60 kB without end",
    connections: 3_500,
    head: "GET /reads/1 HTTP/1.1\r\nHost: shop.example\r\nF: ",
    piece: Buffer.alloc(60_000, "f"),
    pieces: 1,
  },
  {
    name: "bodies of 8 MB in chunks",
    connections: 120,
    head: BODY_HEAD,
    piece: Buffer.from(`10000\r\n${"x".repeat(0x10000)}\r\n`),
    pieces: 122,
  },
  {
    name: "bodies of 400 kB in chunks of one byte",
    connections: 24,
    head: BODY_HEAD,
    piece: Buffer.from("1\r\nx\r\n".repeat(10_000)),
    pieces: 40,
  },
];

/** Prints the peak under each load, each in a new process. */
export async function benchMemory(): Promise<void> {
  const world = await InstanceTestBed.open({ memoryMb: MEMORY_MB });
  try {
    const rows = [];
    for (const load of LOADS) rows.push(await measure(world, load));
    console.table(rows);
    console.log(JSON.stringify({ bench: "memory", limit: MEMORY_MB, rows }));
  } finally {
    await world.close();
  }
}

async function measure(world: InstanceTestBed, load: MemoryLoad) {
  const instance = world.start({
    program: PROGRAM,
    nodeFlags: RUNTIME_FLAGS,
  });
  while (!await instance.ready()) await sleep(100);
  let peak_mb = 0;
  const timer = setInterval(() => {
    peak_mb = Math.max(peak_mb, residentMb(instance));
  }, SAMPLE_MS);
  const small = world.load(instance, SMALL_PER_S, LOAD_MS);
  const sockets = open(instance, load);
  const answered = await small;
  clearInterval(timer);
  for (const socket of sockets) socket.destroy();
  await instance.close();
  const over = peak_mb > MEMORY_MB;
  return { load: load.name, peak_mb: Math.round(peak_mb), over, answered };
}

/** Opens the connections of a load; each sends until it has a response. */
function open(instance: InstanceProcess, load: MemoryLoad): Socket[] {
  const [host = "", port] = instance.callerAddress.split(":");
  return Array.from({ length: load.connections }, () => {
    const socket = connect(Number(port), host);
    socket.on("error", () => {});
    socket.once("data", () => socket.destroy());
    socket.once("connect", () => void send(socket, load));
    return socket;
  });
}

async function send(
  socket: Socket,
  { head, piece, pieces }: MemoryLoad,
): Promise<void> {
  if (head !== "") socket.write(head);
  for (let i = 0; i < pieces && !socket.destroyed; i++) {
    await new Promise<void>((resolve) => socket.write(piece, () => resolve()));
  }
}

function residentMb({ pid }: InstanceProcess): number {
  if (pid === undefined) return 0;
  return residentBytes(pid) / BYTES_PER_MB;
}
