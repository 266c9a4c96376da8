/**
 * The callers of a deployment: each account's requests are an open-loop Poisson
 * process at a fraction of its rate, independent of earlier responses.
 *
 * @module
 */
import { Client } from "../../src/client/mod.ts";
import { type Failure, type Random, SeededRandom } from "../../src/core/mod.ts";
import {
  type Deployment,
  type DeploymentService,
  keyOf,
} from "./deployments.ts";
import type { SentRecord, SentResult } from "./records.ts";

/** Options of a workload. */
export interface WorkloadOptions {
  readonly deployment: Deployment;
  /** One entry instance's address in each region. */
  readonly seeds: readonly string[];
  readonly seconds: number;
  /** An account's load as a fraction of its rate, `elapsedMs` into the run. */
  readonly load: (account: string, elapsedMs: number) => number;
}

/** Fraction of an account's requests from each region, its own region first. */
const REGION_WEIGHTS = [0.6, 0.3, 0.1];
const TIMEOUT_MS = 1_000;
const BODY_BYTES = 200;
const SEED = 1;

/** Sends the workload and returns a record of every request. */
export async function sendWorkload(
  opts: WorkloadOptions,
): Promise<SentRecord[]> {
  const random = new SeededRandom(SEED);
  const accounts = Object.keys(opts.deployment.accounts);
  const callers = accounts.map((id, i) =>
    new AccountCallers(id, i, opts, random)
  );
  const records = await Promise.all(callers.map((c) => c.run()));
  await Promise.all(callers.map((c) => c.close()));
  return records.flat();
}

class AccountCallers {
  readonly #account: string;
  readonly #opts: WorkloadOptions;
  readonly #random: Random;
  readonly #clients: Client[];
  #count = 0;

  constructor(
    account: string,
    index: number,
    opts: WorkloadOptions,
    random: Random,
  ) {
    this.#account = account;
    this.#opts = opts;
    this.#random = random;
    const { seeds } = opts;
    this.#clients = seeds.map((_, i) => {
      const firstSeed = (index + i) % seeds.length;
      const orderedSeeds = [
        ...seeds.slice(firstSeed),
        ...seeds.slice(0, firstSeed),
      ];
      return new Client({ seeds: orderedSeeds, key: keyOf(account) });
    });
  }

  async run(): Promise<SentRecord[]> {
    const ratePerS = this.#opts.deployment.accounts[this.#account]?.ratePerS ??
      0;
    const startedAt = performance.now();
    const sent: Promise<SentRecord>[] = [];
    let dueMs = 0;
    while (dueMs < this.#opts.seconds * 1_000) {
      const load = this.#opts.load(this.#account, dueMs);
      dueMs += -Math.log(1 - this.#random.next()) * 1_000 / (ratePerS * load);
      const waitMs = startedAt + dueMs - performance.now();
      if (waitMs > 0) {
        await new Promise((resolve) => setTimeout(resolve, waitMs));
      }
      sent.push(this.#send());
    }
    return await Promise.all(sent);
  }

  async close(): Promise<void> {
    await Promise.all(this.#clients.map((c) => c.close()));
  }

  async #send(): Promise<SentRecord> {
    const [service, spec] = this.#pickService();
    const request = `${this.#account}/${this.#count++}`;
    const sentAt = now();
    const answer = await this.#pickClient().send({
      service,
      method: spec.idempotent ? "GET" : "POST",
      path: "/work",
      headers: { "x-request-id": request },
      ...(spec.idempotent ? {} : { body: request.padEnd(BODY_BYTES) }),
      timeoutMs: TIMEOUT_MS,
      idempotent: spec.idempotent,
    });
    const common = {
      account: this.#account,
      service,
      request,
      idempotent: spec.idempotent,
      sentAt,
      endedAt: now(),
      timeoutMs: TIMEOUT_MS,
    };
    if (answer.isErr()) {
      const { code, message } = answer.error;
      const why = `${code}: ${message}`;
      return {
        ...common,
        result: resultOf(answer.error),
        misdelivered: false,
        why,
      };
    }
    const misdelivered = !isOwnResponse(
      answer.value.body,
      this.#account,
      request,
    );
    return { ...common, result: "answered", misdelivered, why: "" };
  }

  #pickClient(): Client {
    const pick = this.#random.next();
    let sum = 0;
    const i = REGION_WEIGHTS.findIndex((part) => (sum += part) > pick);
    return this.#clients[Math.max(0, i) % this.#clients.length] as Client;
  }

  #pickService(): [string, DeploymentService] {
    const services = Object.entries(this.#opts.deployment.services);
    const pick = this.#random.next();
    let sum = 0;
    const found = services.find(([, s]) => (sum += s.mix) > pick);
    return found ?? services[0] as [string, DeploymentService];
  }
}

/** `lost` if no instance answered, so that the outcome was never reported. */
function resultOf(failure: Failure): SentResult {
  if (failure.code === "no_answer") return "lost";
  return failure.outcome === "not-run" ? "not_run" : "unknown";
}

function isOwnResponse(
  body: Uint8Array,
  account: string,
  request: string,
): boolean {
  try {
    const got = JSON.parse(new TextDecoder().decode(body));
    return got.account === account && got.request === request;
  } catch {
    return false;
  }
}

function now(): number {
  return performance.timeOrigin + performance.now();
}
