import test, { type ExecutionContext } from "ava";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { connect, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { connect as connectTls, type TLSSocket } from "node:tls";
import { SilentLog, SystemClock } from "../core/mod.ts";
import { Listener, type ListenerOptions } from "./listener.ts";
import type { ListenerLimits } from "./listener_limits.ts";
import { CERTIFICATE_ONE, CERTIFICATE_TWO } from "./testing/certificates.ts";
import type { TlsCredentials } from "./tls_files.ts";

const LIMITS: ListenerLimits = {
  headerBytes: 2_048,
  bodyBytes: 1_000,
  connections: 50,
  connectionsPerAddress: 3,
  headerMs: 500,
  requestMs: 500,
  idleMs: 60_000,
};

async function setup(t: ExecutionContext, opts: ListenerOptions) {
  const opened = await Listener.open(
    { host: "127.0.0.1", port: 0 },
    (req, res) => {
      req.resume();
      req.on("end", () => res.end("served"));
    },
    opts,
  );
  const listener = opened._unsafeUnwrap();
  t.teardown(() => listener.close());
  return { listener, port: Number(new URL(listener.url).port) };
}

/** Sends raw bytes and returns all received bytes until the server closes. */
function exchange(port: number, ...sent: string[]): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1");
    let got = "";
    socket.on("data", (chunk) => got += chunk);
    socket.on("error", () => {});
    socket.on("close", () => resolve(got));
    for (const part of sent) socket.write(part);
  });
}

interface LimitCase {
  readonly name: string;
  readonly sent: readonly string[];
  readonly answer: RegExp;
  readonly limits?: Partial<ListenerLimits>;
}

const LIMIT_CASES: LimitCase[] = [
  {
    name: "header fields that are too large",
    sent: [`GET / HTTP/1.1\r\nhost: x\r\nx-a: ${"a".repeat(4_000)}\r\n\r\n`],
    answer: /^HTTP\/1\.1 431 .*not-run.*too large/s,
  },
  {
    name: "header fields that never end",
    sent: ["GET / HTTP/1.1\r\nhost: x\r\n"],
    answer: /^HTTP\/1\.1 408 .*not-run/s,
  },
  {
    name: "a body announced as too large",
    sent: ["POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9999999\r\n\r\n"],
    answer: /^HTTP\/1\.1 413 .*not-run.*value_too_large/s,
  },
  {
    name: "a body without length that goes on past the limit",
    sent: [
      "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n",
      `80000\r\n${"b".repeat(0x80000)}\r\n`,
    ],
    answer: /^$/,
    limits: { requestMs: 60_000 },
  },
  {
    name: "a body that never ends",
    sent: ["POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nab"],
    // An endpoint may have received a part, so the outcome is not "not-run".
    answer: /^HTTP\/1\.1 408 .*unknown/s,
  },
  {
    name: "bytes that are no request",
    sent: ["\u0000\u0001 hello\r\n\r\n"],
    answer: /^HTTP\/1\.1 400 .*not-run.*malformed/s,
  },
  {
    name: "both a length and chunks, which a proxy may read otherwise",
    sent: [
      "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    ],
    answer: /^HTTP\/1\.1 400 .*not-run/s,
  },
];

for (const row of LIMIT_CASES) {
  test(`a caller sends ${row.name}`, async (t) => {
    // Without limits one caller could hold a connection and memory indefinitely.
    // A limit refuses it, and the listener serves the next one.
    const limits = { ...LIMITS, ...row.limits };
    const { listener, port } = await setup(t, { limits });
    t.regex(await exchange(port, ...row.sent), row.answer);
    const next = await fetch(listener.url);
    t.is(await next.text(), "served");
  });
}

test("connections above the limit per address are closed", async (t) => {
  // A caller that leaks connections would otherwise use up the listener's total.
  const { port } = await setup(t, { limits: LIMITS });
  const sockets = await Promise.all(
    Array.from({ length: 3 }, () => opened(port)),
  );
  t.is(await exchange(port, "GET / HTTP/1.1\r\nhost: x\r\n\r\n"), "");
  for (const socket of sockets) socket.destroy();
});

function opened(port: number): Promise<Socket> {
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1", () => resolve(socket));
  });
}

async function tlsSetup(t: ExecutionContext) {
  const dir = await mkdtemp(join(tmpdir(), "magnoliahook-tls-"));
  t.teardown(() => rm(dir, { recursive: true }));
  const files = {
    certFile: join(dir, "cert.pem"),
    keyFile: join(dir, "key.pem"),
    reloadIntervalMs: 20,
  };
  const replace = async ({ cert, key }: TlsCredentials) => {
    await writeFile(files.certFile, cert);
    await writeFile(files.keyFile, key);
  };
  return { files, replace };
}

function tlsConnect(port: number): Promise<TLSSocket> {
  return new Promise((resolve, reject) => {
    const ca = [CERTIFICATE_ONE.cert, CERTIFICATE_TWO.cert];
    const socket = connectTls({ port, host: "127.0.0.1", ca }, () => {
      resolve(socket);
    });
    socket.once("error", reject);
  });
}

function commonName(socket: TLSSocket): string {
  return String(socket.getPeerCertificate().subject.CN);
}

function ask(socket: TLSSocket): Promise<string> {
  return new Promise((resolve) => {
    socket.once("data", (chunk) => resolve(String(chunk)));
    socket.write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
  });
}

test("a certificate is reloaded while a connection is open", async (t) => {
  // Certificates are rotated every few weeks. An open connection continues, and
  // the next one gets the new certificate without a restart.
  const { files, replace } = await tlsSetup(t);
  await replace(CERTIFICATE_ONE);
  const tls = { files, clock: new SystemClock(), log: new SilentLog() };
  const { listener, port } = await setup(t, { tls });
  t.regex(listener.url, /^https:/);
  const before = await tlsConnect(port);
  t.is(commonName(before), "one");
  t.regex(await ask(before), /served/);
  await replace(CERTIFICATE_TWO);
  let name = "";
  while (name !== "two") {
    const next = await tlsConnect(port);
    name = commonName(next);
    next.destroy();
  }
  t.regex(await ask(before), /served/);
  before.destroy();
});

test("a certificate whose key is not yet replaced leaves the old pair in use", async (t) => {
  // The two files are replaced one after the other. In between they do not match,
  // and new connections get the old certificate.
  const { files, replace } = await tlsSetup(t);
  await replace(CERTIFICATE_ONE);
  let seen = () => {};
  const failed = new Promise<void>((resolve) => seen = resolve);
  const log = {
    event: (name: string) => name === "tls_reload_failed" && seen(),
    child: () => log,
  };
  const clock = new SystemClock();
  const { port } = await setup(t, { tls: { files, clock, log } });
  await writeFile(files.certFile, CERTIFICATE_TWO.cert);
  await failed;
  const socket = await tlsConnect(port);
  t.is(commonName(socket), "one");
  socket.destroy();
});

const UNUSABLE: [string, TlsCredentials][] = [
  [
    "a key of another certificate",
    { cert: CERTIFICATE_ONE.cert, key: CERTIFICATE_TWO.key },
  ],
  ["an empty certificate", { cert: "", key: CERTIFICATE_ONE.key }],
  ["an empty key", { cert: CERTIFICATE_ONE.cert, key: "" }],
  ["a certificate that is none", { cert: "x", key: CERTIFICATE_ONE.key }],
];

for (const [name, pair] of UNUSABLE) {
  test(`${name} is refused`, async (t) => {
    // A file is empty while it is being rewritten. Accepting it as a certificate
    // would make every handshake fail until the next reload.
    const { files, replace } = await tlsSetup(t);
    await replace(pair);
    const opened = await Listener.open(
      { host: "127.0.0.1", port: 0 },
      () => {},
      { tls: { files, clock: new SystemClock(), log: new SilentLog() } },
    );
    const failure = opened._unsafeUnwrapErr();
    t.is(failure.code, "bad_settings");
    t.true(failure.message.includes(files.certFile));
  });
}
