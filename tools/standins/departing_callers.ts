/**
 * Callers that each send one request and close their connection if it is not
 * answered in time, and the requests of theirs that reach endpoints later.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { HEADERS } from "../../platform/names.ts";

/** How late a request may reach an endpoint after its caller left, in ms. */
export const LATE_MS = 500;
const MS_PER_S = 1_000;
/** Largest number of connections that are kept. */
const KEPT_CONNECTIONS = 64;
const FINAL_WAIT_MS = 2_500;

/** How the requests are sent. */
export type CallerKind = "new connections" | "kept connections" | "uploads";

/** A load of departing callers. */
export interface DepartingLoad {
  readonly kind: CallerKind;
  readonly perS: number;
  readonly forMs: number;
  /** How long a caller waits for its response, in milliseconds. */
  readonly patienceMs: number;
}

/** What callers got. */
export interface DepartingResult {
  readonly sent: number;
  readonly answered: number;
  /** Responses with 503 or 429. */
  readonly refused: number;
  readonly left: number;
  /** Connections that failed, and responses with another status. */
  readonly failed: number;
  /** Time to a success, in milliseconds: median and 99th percentile. */
  readonly medianMs: number;
  readonly p99Ms: number;
  /** Requests at endpoints over `LATE_MS` after their callers left. */
  readonly late: number;
}

/** Where the requests are sent, and how they are made. */
export interface DepartingCallersOptions {
  readonly host: string;
  readonly port: number;
  /** The head of a request without its id, its length and the empty line. */
  readonly head: (n: number, kind: CallerKind) => string;
}

const UPLOAD = "u".repeat(3_000);

/** Sends requests and gives up on those that take too long. */
export class DepartingCallers {
  readonly #opts: DepartingCallersOptions;
  readonly #leftAt = new Map<string, number>();
  readonly #kept: Socket[] = [];
  #late = 0;
  #sent = 0;

  constructor(opts: DepartingCallersOptions) {
    this.#opts = opts;
  }

  /** Records a request that arrives at an endpoint. */
  arrived(request: string): void {
    const leftAt = this.#leftAt.get(request) ?? Infinity;
    if (performance.now() > leftAt + LATE_MS) this.#late++;
  }

  /** Sends requests at a constant rate, whether they are answered or not. */
  async run(load: DepartingLoad): Promise<DepartingResult> {
    const lateBefore = this.#late;
    const pending: Promise<Outcome>[] = [];
    const began = performance.now();
    while (performance.now() - began < load.forMs) {
      const due = (performance.now() - began) * load.perS / MS_PER_S;
      while (pending.length < due) pending.push(this.#send(load));
      await sleep(1);
    }
    const outcomes = await Promise.all(pending);
    await sleep(FINAL_WAIT_MS);
    for (const socket of this.#kept.splice(0)) socket.destroy();
    const times = outcomes.flatMap((o) => o.kind === "answered" ? [o.ms] : [])
      .sort((a, b) => a - b);
    const count = (kind: Outcome["kind"]) =>
      outcomes.filter((o) => o.kind === kind).length;
    return {
      sent: outcomes.length,
      answered: times.length,
      refused: count("refused"),
      left: count("left"),
      failed: count("failed"),
      medianMs: Math.round(times[Math.floor(times.length / 2)] ?? 0),
      p99Ms: Math.round(times[Math.floor(times.length * 0.99)] ?? 0),
      late: this.#late - lateBefore,
    };
  }

  #send({ kind, patienceMs }: DepartingLoad): Promise<Outcome> {
    const n = this.#sent++;
    const request = `d${n}`;
    const { host, port, head } = this.#opts;
    const isNew = kind === "new connections";
    const kept = isNew ? undefined : this.#kept.pop();
    const socket = kept ?? connect(port, host);
    const sentAt = performance.now();
    const body = kind === "uploads" ? UPLOAD : "";
    const length = body === "" ? "" : `Content-Length: ${body.length}\r\n`;
    socket.write(
      `${
        head(n, kind)
      }${HEADERS.requestId}: ${request}\r\n${length}\r\n${body}`,
    );
    return new Promise((resolve) => {
      const end = (outcome: Outcome) => {
        clearTimeout(timer);
        socket.removeAllListeners();
        socket.on("error", () => {});
        const isKept = !isNew && outcome.kind === "answered" &&
          this.#kept.length < KEPT_CONNECTIONS;
        if (isKept) this.#kept.push(socket);
        else socket.destroy();
        resolve(outcome);
      };
      const timer = setTimeout(() => {
        this.#leftAt.set(request, performance.now());
        end({ kind: "left" });
      }, patienceMs);
      socket.on("error", () => end({ kind: "failed" }));
      socket.on("close", () => end({ kind: "failed" }));
      socket.once("data", (chunk: Uint8Array) => {
        const status = Number(new TextDecoder().decode(chunk.subarray(9, 12)));
        const ms = performance.now() - sentAt;
        if (status === 200) end({ kind: "answered", ms });
        else if (status === 503 || status === 429) end({ kind: "refused" });
        else end({ kind: "failed" });
      });
    });
  }
}

/** What became of one request, as its caller sees it. */
type Outcome =
  | { readonly kind: "answered"; readonly ms: number }
  | { readonly kind: "refused" }
  | { readonly kind: "left" }
  | { readonly kind: "failed" };
