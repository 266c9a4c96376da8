// After SIGTERM an instance closes its listener and its idle connections, but
// goes on reading first requests of connections that were opened before. It
// passes them on and cuts them off when its grace period ends.
import { Client } from "../lib/client.mjs";
import { freeHost, Instance, sleep } from "../lib/instance.mjs";
import { writePlan } from "../lib/plan.mjs";
import { playCase, TROUBLE } from "../lib/record.mjs";
import { Store } from "../lib/store.mjs";
import { Target } from "../lib/target.mjs";

const GRACE_S = 6;
const STABILITY_WINDOW_S = 3;
/** As the site file has it for its reads, whose longest work is 2.64 s. */
const WORK_MS = 2_600;
const TIMEOUT_S = 4;
const DEADLINE_MS = 4_000;
/** Clients that connect before the listener closes, and send after it. */
const CLIENTS = 8;
const CONNECT_AT_MS = 2_700;
const SEND_AT_MS = 3_400;
/** Some clients use an answer of the directory for three times its `TtlS`. */
const TTL_FACTOR = 3;

await playCase(process.argv[2], async (record, dir, open) => {
  const store = await Store.listen();
  open.push(store);
  const zones = { "a-1": "a", "a-2": "a" };
  writePlan(store, 7, {
    routes: [
      {
        name: "reads",
        PathPrefix: "/maps/",
        Kind: "safe",
        Service: "mapview",
        TimeoutS: TIMEOUT_S,
      },
      {
        name: "writes",
        PathPrefix: "/signups/",
        Kind: "unsafe",
        Service: "signup",
        TimeoutS: TIMEOUT_S,
      },
    ],
    services: ["mapview", "signup"],
  });
  const targets = [];
  for (const zone of Object.keys(zones)) {
    for (const service of ["mapview", "signup"]) {
      const target = await Target.listen({
        id: `i-${service}-${zone}`,
        service,
        zone,
        slots: 20,
        workMs: WORK_MS,
      });
      target.register(store);
      targets.push(target);
      open.push(target);
    }
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
  const lookUp = await stopped.resolve("a");
  const lookedUpAt = Date.now();
  record.add(`the directory names ${lookUp.Addresses}, TtlS ${lookUp.TtlS}`);
  const stopAt = Date.now();
  if (TROUBLE) {
    stopped.signal("SIGTERM");
    record.add("edge-a-1 gets SIGTERM");
  }

  // Requests of the usual traffic, which the instance completes.
  const usual = [];
  for (const afterMs of [200, 900, 1_600, 2_400]) {
    await sleep(stopAt + afterMs - Date.now());
    const client = new Client(stopped.caller);
    open.push(client);
    usual.push(send(client, `usual-${afterMs}`, usual.length));
  }
  await sleep(stopAt + CONNECT_AT_MS - Date.now());
  const validMs = lookedUpAt + lookUp.TtlS * TTL_FACTOR * 1_000 - Date.now();
  if (validMs < 0) throw new Error("the directory's answer is too old");
  const clients = [];
  for (let i = 0; i < CLIENTS; i++) {
    const client = new Client(stopped.caller);
    open.push(client);
    await client.connected;
    clients.push(client);
  }
  record.add(`${CLIENTS} clients have connected to edge-a-1`);
  await sleep(stopAt + SEND_AT_MS - Date.now());
  const sent = clients.map((client, i) => send(client, `late-${i}`, i));
  const usualResults = await Promise.all(usual);
  const results = await Promise.all(sent);

  const arrivals = new Map(
    targets.flatMap(({ arrivals }) => arrivals).map((a) => [a.id, a]),
  );
  const lost = [];
  for (const r of [...usualResults, ...results]) {
    const arrival = arrivals.get(r.id);
    const afterMs = r.sentAt - stopAt;
    record.add(`request ${r.id} (${r.name}) sent to edge-a-1`, r.sentAt);
    if (arrival !== undefined) {
      record.add(`request ${r.id} runs at ${arrival.target}`, arrival.at);
    }
    const end = r.kind === "answer"
      ? `is answered ${r.status}`
      : `ends without an answer (${r.kind} ${r.reason ?? ""})`;
    record.add(`request ${r.id} ${end}`, r.endedAt);
    const leftMs = r.sentAt + TIMEOUT_S * 1_000 - r.endedAt;
    // The rule doesn't count requests that were sent up to 3 s after SIGTERM.
    const counts = afterMs > 3_000 &&
      r.endedAt - stopAt <= (GRACE_S + 1) * 1_000 && leftMs > 0;
    if (r.kind === "cut" && arrival?.ran && counts) {
      lost.push({ ...r, afterMs, leftMs });
    }
  }
  for (const { id, afterMs, endedAt, leftMs } of lost) {
    record.note(
      `LOST: ${id}, sent ${afterMs} ms after SIGTERM, was passed on and cut ` +
        `off ${endedAt - stopAt} ms after it, ${leftMs} ms before its time-out`,
    );
  }
  const answered = [...usualResults, ...results].filter((r) =>
    r.kind === "answer" && r.status === 200
  );
  record.note(
    `${usualResults.length + results.length} requests, ${answered.length} ` +
      `answered 200, ${lost.length} lost`,
  );
  return lost.length === 0;
});

/** Sends a read or, for odd numbers, a write that may run once at most. */
async function send(client, name, number) {
  const kind = number % 2 === 0
    ? { method: "GET", path: `/maps/${name}` }
    : { method: "POST", path: `/signups/${name}`, body: Buffer.from(name) };
  const sentAt = Date.now();
  const result = await client.send({
    ...kind,
    object: name,
    deadlineMs: DEADLINE_MS,
  });
  name = `${kind.method} ${kind.path}`;
  return { name, sentAt, endedAt: Date.now(), ...result };
}
