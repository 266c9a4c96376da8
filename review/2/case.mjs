// A stopping instance takes a response as sent once it is handed to the socket.
// With nothing else to complete, it exits while the client still reads.
import { spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { newId } from "../lib/client.mjs";
import { freeHost, Instance, sleep } from "../lib/instance.mjs";
import { KEY, writePlan } from "../lib/plan.mjs";
import { playCase, TROUBLE } from "../lib/record.mjs";
import { Store } from "../lib/store.mjs";
import { Target } from "../lib/target.mjs";

const GRACE_S = 6;
const STABILITY_WINDOW_S = 3;
const DEADLINE_MS = 4_000;
const BODY_BYTES = 262_000;
/** The whole answer takes 2.6 s at this rate. */
const BYTES_PER_S = 100_000;
const CLIENTS = 6;
const SEND_AT_MS = 2_500;
const SLOW_CLIENT = fileURLToPath(new URL("slow_client.pl", import.meta.url));

await playCase(process.argv[2], async (record, dir, open) => {
  const store = await Store.listen();
  open.push(store);
  const zones = { "a-1": "a", "a-2": "a" };
  writePlan(store, 7, {
    routes: [{
      name: "writes",
      PathPrefix: "/signups/",
      Kind: "unsafe",
      Service: "signup",
      TimeoutS: DEADLINE_MS / 1_000,
    }],
    services: ["signup"],
  });
  const targets = [];
  for (const zone of Object.keys(zones)) {
    const target = await Target.listen({
      id: `i-${zone}`,
      service: "signup",
      zone,
      bodyBytes: BODY_BYTES,
    });
    target.register(store);
    targets.push(target);
    open.push(target);
  }
  const instances = [];
  for (const zone of Object.keys(zones)) {
    const instance = new Instance({
      id: `edge-${zone}`,
      zone,
      region: zones[zone],
      zones,
      host: await freeHost(),
      store: store.address,
      dir,
    });
    instance.start({ firstStart: true });
    instances.push(instance);
    open.push(instance);
  }
  for (const instance of instances) await instance.whenReady();
  await sleep((STABILITY_WINDOW_S + 2) * 1_000);

  const [stopped] = instances;
  const stopAt = Date.now();
  if (TROUBLE) {
    stopped.signal("SIGTERM");
    record.add(`${stopped.id} gets SIGTERM`);
    void stopped.exited.then(({ code }) =>
      record.add(`${stopped.id} exits with ${code}`)
    );
  }
  await sleep(stopAt + SEND_AT_MS - Date.now());
  const sentAt = Date.now();
  const clients = [];
  for (let i = 0; i < CLIENTS; i++) {
    const client = startClient(stopped.caller, i);
    clients.push(client);
    open.push(client);
    record.add(`request ${client.id} sent to ${stopped.id}`, sentAt);
  }
  await Promise.all(clients.map(({ ended }) => ended));

  const arrivals = new Map(
    targets.flatMap(({ arrivals }) => arrivals).map((a) => [a.id, a]),
  );
  const lost = [];
  for (const { id, got, expected, endedAt, end } of clients) {
    const arrival = arrivals.get(id);
    if (arrival === undefined) throw new Error(`${id} reached no target`);
    record.add(`request ${id} runs at ${arrival.target}`, arrival.ranAt);
    record.add(`${arrival.target} has answered ${id}`, arrival.answeredAt);
    record.add(
      `request ${id} has ${got} of ${expected} bytes of its answer, ${end}`,
      endedAt,
    );
    const leftMs = sentAt + DEADLINE_MS - endedAt;
    const counts = endedAt - stopAt <= (GRACE_S + 1) * 1_000 && leftMs > 0;
    if (got < expected && counts) lost.push({ id, got, expected, endedAt });
    else if (got < expected) throw new Error(`${id} was late in any case`);
  }
  for (const { id, got, expected, endedAt } of lost) {
    record.note(
      `LOST: ${id} was passed on and answered by its target, and its ` +
        `connection ended ${
          endedAt - stopAt
        } ms after SIGTERM with ${got} of ` +
        `${expected} bytes`,
    );
  }
  record.note(`${clients.length} requests, ${lost.length} lost`);
  return lost.length === 0;
});

/** Starts a client on a slow link; `ended` resolves when its answer ends. */
function startClient({ host, port }, number) {
  const id = newId();
  const request = [
    `POST /signups/${number} HTTP/1.1`,
    "Host: shop.example",
    `X-Request-Id: ${id}`,
    `X-Affinity-Key: ${number}`,
    `X-Deadline-Ms: ${DEADLINE_MS}`,
    `Authorization: Token ${KEY}`,
    "Content-Length: 1",
    "",
    "x",
  ].join("\r\n");
  const child = spawn("perl", [SLOW_CLIENT, host, port, request, BYTES_PER_S], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  const client = { id, pid: child.pid };
  client.ended = new Promise((resolve, reject) => {
    child.once("error", reject);
    createInterface({ input: child.stdout }).once("line", (line) => {
      const [at, end, got, expected] = line.split(" ");
      client.endedAt = Math.round(Number(at) * 1_000);
      client.end = end;
      client.got = Number(got);
      client.expected = Number(expected);
    }).once("close", () => {
      if (client.end !== undefined) resolve();
      else reject(new Error("a client failed"));
    });
  });
  client.close = () => {
    if (child.exitCode !== null) return;
    child.kill("SIGKILL");
    return new Promise((done) => child.once("exit", done));
  };
  return client;
}
