// An instance reads each request's body whole and holds it until the request
// ends, without a bound on all of them together. Three uploads at once, each
// within the limits of the manifest, take it over its memory, and the platform
// kills it with all that it has in progress.
import { readFileSync } from "node:fs";
import { Client } from "../lib/client.mjs";
import { freeHost, Instance, sleep } from "../lib/instance.mjs";
import { MAX_BODY_BYTES, writePlan } from "../lib/plan.mjs";
import { playCase, TROUBLE } from "../lib/record.mjs";
import { Store } from "../lib/store.mjs";
import { Target } from "../lib/target.mjs";

const STABILITY_WINDOW_S = 3;
/** `Limits.MemoryMb` of the settings. */
const MEMORY_MB = 350;
const UPLOAD_BYTES = MAX_BODY_BYTES - 1_000_000;
const UPLOADS = 6;
/** Three times as many users at once as usual, who send one upload at a time. */
const UPLOADS_AT_ONCE = TROUBLE ? 3 : 1;
const UPLOAD_WORK_MS = 1_000;
const TIMEOUT_S = 6;
/** The usual traffic: clients on kept connections with small requests. */
const CLIENTS = 24;
/** The mean work of the site file's `alert-signups`. */
const WORK_MS = 1_160;
/** Requests that may be cut before the rule is broken. */
const MAY_BE_CUT = 3;

await playCase(process.argv[2], async (record, dir, open) => {
  const store = await Store.listen();
  open.push(store);
  const zones = { "a-1": "a", "a-2": "a" };
  writePlan(store, 7, {
    routes: [
      {
        name: "signups",
        PathPrefix: "/signups/",
        Kind: "unsafe",
        Service: "signup",
        TimeoutS: TIMEOUT_S,
      },
      {
        name: "reports",
        PathPrefix: "/reports/",
        Kind: "unsafe",
        Service: "crewdesk",
        TimeoutS: TIMEOUT_S,
      },
    ],
    services: ["signup", "crewdesk"],
  });
  const targets = [];
  for (const zone of Object.keys(zones)) {
    for (const service of ["signup", "crewdesk"]) {
      const target = await Target.listen({
        id: `i-${service}-${zone}`,
        service,
        zone,
        slots: 40,
        workMs: service === "signup" ? WORK_MS : UPLOAD_WORK_MS,
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

  const [instance] = instances;
  const platform = watchMemory(instance, record);
  const usual = [];
  let stop = false;
  const loops = Array.from({ length: CLIENTS }, async (_, k) => {
    const client = new Client(instance.caller);
    open.push(client);
    await sleep(k * WORK_MS / CLIENTS);
    for (let n = 0; !stop; n++) {
      const result = await send(client, `/signups/${k}-${n}`, "details");
      usual.push({ ...result, kept: n > 0 });
      // The other instance serves the client from then on.
      if (result.kind === "cut") return;
    }
  });
  await sleep(3 * WORK_MS);
  const body = Buffer.alloc(UPLOAD_BYTES, "scan ");
  const uploads = [];
  for (let n = 0; n < UPLOADS && !platform.killed; n += UPLOADS_AT_ONCE) {
    const numbers = Array.from({ length: UPLOADS_AT_ONCE }, (_, i) => n + i);
    uploads.push(
      ...await Promise.all(numbers.map(async (number) => {
        const client = new Client(instance.caller);
        const result = await send(client, `/reports/${number}`, body);
        client.close();
        return result;
      })),
    );
  }
  await sleep(500);
  stop = true;
  await Promise.all(loops);
  platform.close();

  const arrivals = new Map(
    targets.flatMap(({ arrivals }) => arrivals).map((a) => [a.id, a]),
  );
  for (const r of [...usual, ...uploads]) {
    const arrival = arrivals.get(r.id);
    record.add(`${r.bytes} bytes sent, request ${r.id}`, r.sentAt);
    if (arrival !== undefined) {
      record.add(`request ${r.id} runs at ${arrival.target}`, arrival.at);
    }
    record.add(
      `request ${r.id} ends: ${
        r.status ?? `no answer (${r.reason ?? r.kind})`
      }`,
      r.endedAt,
    );
  }
  const cut = usual.filter((r) =>
    r.kind === "cut" && r.kept && arrivals.get(r.id)?.ran
  );
  const answered = usual.filter(({ status }) => status === 200);
  record.note(
    `${uploads.length} uploads of ${UPLOAD_BYTES} bytes, ` +
      `${UPLOADS_AT_ONCE} at once: ${
        uploads.map(({ status, kind }) => status ?? kind).join(" ")
      }`,
  );
  record.note(
    `memory of ${instance.id} at its peak: ${Math.round(platform.peakMb)} of ` +
      `${MEMORY_MB} MB${platform.killed ? ", killed" : ""}`,
  );
  record.note(
    `${usual.length} small requests, ${answered.length} answered 200`,
  );
  const broken = cut.length > MAY_BE_CUT;
  record.note(
    `${broken ? "LOST: " : ""}${cut.length} requests on kept connections ` +
      `that ran at sound targets got no answer; ${MAY_BE_CUT} may`,
  );
  return !broken;
});

/** Kills an instance over its memory, as the platform does. */
function watchMemory(instance, record) {
  const platform = { peakMb: 0, killed: false, close: () => {} };
  const timer = setInterval(() => {
    const mb = residentMb(instance.pid);
    platform.peakMb = Math.max(platform.peakMb, mb);
    if (mb <= MEMORY_MB || platform.killed) return;
    platform.killed = true;
    instance.signal("SIGKILL");
    record.add(`${instance.id} has ${Math.round(mb)} MB and is killed`);
  }, 10);
  platform.close = () => clearInterval(timer);
  return platform;
}

function residentMb(pid) {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/^VmRSS:\s+(\d+)/m.exec(status)[1]) / 1_024;
  } catch {
    // The process has ended.
    return 0;
  }
}

async function send(client, path, body) {
  const sentAt = Date.now();
  const result = await client.send({
    method: "POST",
    path,
    object: path,
    deadlineMs: TIMEOUT_S * 1_000,
    body: Buffer.from(body),
  });
  return { bytes: body.length, sentAt, endedAt: Date.now(), ...result };
}
