/**
 * All processes are killed and start again, and a target's entry is removed some
 * 2.6 s later: whether requests still reach that target later than DrainS.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Deployment, runCase, sleep } from "../lib-2/deployment.mjs";
import { answerHead, sendOnce, Target } from "../lib-2/wire.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
const ZONES = { "riga-a": "eu-north", "riga-b": "eu-north" };
const HOST = "lots.example";
const TARGETS = 12;
/** Bounds of the site. */
const DRAIN_MS = 2_000;
const STABILITY_MS = 3_000;
/** The pause before the platform starts a process again. */
const RESTART_MS = 500;
const ROUNDS = 12;
/**
 * From the first call of the processes to the store to the removal; each round
 * waits a little longer.
 */
const REMOVE_AFTER_MS = 2_600;
const REMOVE_STEP_MS = 40;
/** A target that leaves serves on for as long as that. */
const SERVES_ON_MS = 6_000;
const REQUEST_EVERY_MS = 8;

const folder = dirname(fileURLToPath(import.meta.url));
const deployment = new Deployment(folder, { zones: ZONES, perZone: 1 });
await runCase(deployment, async ({ record, store, instances, targets }) => {
  const broken = [];
  const startedAt = new Map();
  const leftAt = new Map();
  const sentBy = new Map();
  const storeHost = store.address.split(":")[0];

  /** Counts what reaches a target later than DrainS after the store's ack. */
  const arrived = (target, request) => {
    sentBy.get(request.id).ranBy.push(target.id);
    const ack = leftAt.get(target.id);
    const late = request.at - (ack ?? Infinity);
    if (late <= DRAIN_MS) return;
    const { instance, sentAt } = sentBy.get(request.id);
    const upMs = sentAt - startedAt.get(instance);
    const isInTouch = upMs > STABILITY_MS;
    record(
      `${target.id} gets ${request.id} from ${instance} ${late} ms after the ` +
        `ack that it is gone; the machine has been up for ${upMs} ms`,
    );
    if (isInTouch) {
      broken.push(`DRAIN: ${request.id} reached ${target.id} after ${late} ms`);
    }
  };
  let number = 0;
  const addTarget = async () => {
    const zone = Object.keys(ZONES)[number % 2];
    const target = new Target({
      id: `i-${++number}`,
      service: "catalog",
      zone,
    });
    target.serve = (request, socket) => {
      arrived(target, request);
      socket.write(answerHead(request) + "Content-Length: 2\r\n\r\nok");
    };
    await target.listen(storeHost);
    targets.push(target);
    deployment.register(target);
  };
  for (let i = 0; i < TARGETS; i++) await addTarget();
  deployment.putManifest(1, {
    routes: [{
      Host: HOST,
      PathPrefix: "/lots/",
      Kind: "safe",
      TimeoutS: 1.2,
      Service: "catalog",
    }],
    services: ["catalog"],
  });
  await deployment.start();
  for (const { name } of instances) startedAt.set(name, Date.now() - 5_000);

  // Clients send to all machines at a steady rate.
  let isOpen = true;
  let requests = 0;
  const load = (async () => {
    while (isOpen) {
      const instance = instances[requests % instances.length];
      const id = `request-${++requests}`;
      const sent = { instance: instance.name, sentAt: Date.now(), ranBy: [] };
      sentBy.set(id, sent);
      void sendOnce(instance.front, {
        path: `/lots/${requests}`,
        host: HOST,
        id,
        deadlineMs: 1_500,
        thing: String(requests % 400),
      }).then(({ status, endedBy }) => sent.answer = status ?? endedBy);
      await sleep(REQUEST_EVERY_MS);
    }
  })();

  for (let round = 0; round < ROUNDS && broken.length === 0; round++) {
    if (TROUBLE) {
      record("SIGKILL to all processes");
      for (const instance of instances) instance.child.kill("SIGKILL");
      await sleep(RESTART_MS);
      for (const instance of instances) instance.start(false);
    }
    const began = Date.now();
    if (TROUBLE) {
      for (const { name } of instances) startedAt.set(name, began);
    }
    let calledAt = began;
    if (TROUBLE) {
      while (
        instances.some(({ name }) => store.announcedAt.get(name) < began)
      ) {
        await sleep(5);
      }
      calledAt = Math.max(...store.announcedAt.values());
    }
    record("the processes run and have called the store");
    const removeAt = calledAt + REMOVE_AFTER_MS + (round % 6) * REMOVE_STEP_MS;
    await sleep(removeAt - Date.now());
    const leaving = targets.filter(({ id }) => !leftAt.has(id)).slice(0, 3);
    for (const target of leaving) {
      store.remove("servers", target.id);
      leftAt.set(target.id, Date.now());
      record(`the store has removed the entry of ${target.id}`);
      setTimeout(() => target.close(), SERVES_ON_MS);
    }
    await sleep(DRAIN_MS + 800);
    for (let i = 0; i < leaving.length; i++) await addTarget();
    // All targets are there again for the next round.
    await sleep(1_000);
  }
  isOpen = false;
  await load;
  await sleep(1_600);
  record(`${requests} requests were sent:`);
  for (const [id, { instance, ranBy, answer }] of sentBy) {
    record(
      `${id} to ${instance}, run by ${ranBy.join(" ")}, answered ${answer}`,
    );
  }
  return broken;
});
