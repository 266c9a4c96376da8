/**
 * Baseline dispatcher: round robin over the endpoints of the own availability
 * zone, without a queue.
 *
 * Its weaknesses: with evenly split slots one instance refuses while another
 * has free ones, a burst is refused that a short wait could serve, and a slow
 * endpoint gets as many requests as a fast one. Callers see refusals at half
 * load and high tail latency.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import {
  type Clock,
  type EndpointId,
  fail,
  type Failure,
  type ServiceId,
  type ZoneId,
} from "../../core/mod.ts";
import type { EndpointEntry, SteeringDocument } from "../../document/mod.ts";
import type { SlotLimits } from "./slot_limits.ts";
import type { Dispatcher, Slot, SteeringRequest } from "./dispatcher.ts";

interface EndpointRow {
  readonly id: EndpointId;
  entry: EndpointEntry;
  inFlight: number;
}

const RETRY_DELAY_MS = 100;

/** Round robin over the zone's endpoints without queueing. */
export class RoundRobinDispatcher implements Dispatcher {
  readonly #clock: Clock;
  readonly #zone: ZoneId;
  readonly #limits: SlotLimits;
  #rows = new Map<ServiceId, EndpointRow[]>();
  #nextIndex = 0;

  constructor(clock: Clock, zone: ZoneId, limits: SlotLimits) {
    this.#clock = clock;
    this.#zone = zone;
    this.#limits = limits;
  }

  adopt(document: SteeringDocument, now: number): void {
    this.#limits.adopt(document, now);
    const previous = this.#rows;
    this.#rows = new Map();
    const drained = new Set<string>(document.drains.map((d) => d.id));
    for (const [id, service] of Object.entries(document.services)) {
      const serviceId = id as ServiceId;
      const known = new Map(previous.get(serviceId)?.map((r) => [r.id, r]));
      const rows = Object.entries(service.endpoints)
        .filter(([id, e]) => e.zone === this.#zone && !drained.has(id))
        .map(([id, entry]) => makeRow(id as EndpointId, entry, known));
      this.#rows.set(serviceId, rows);
    }
  }

  acquire(req: SteeringRequest): Promise<Result<Slot, Failure>> {
    return Promise.resolve(this.#acquire(req));
  }

  tick(): void {}

  #acquire(req: SteeringRequest): Result<Slot, Failure> {
    const rows = this.#rows.get(req.service) ?? [];
    if (rows.length === 0) {
      return fail(
        "no_endpoint",
        `service ${req.service} has no endpoint here`,
        {
          outcome: "not-run",
        },
      );
    }
    const now = this.#clock.now();
    for (let i = 0; i < rows.length; i++) {
      const row = rows[this.#nextIndex++ % rows.length];
      if (row === undefined || req.exclude?.has(row.id)) continue;
      if (row.inFlight < this.#limits.limit(row.id, now)) {
        return ok(this.#take(row));
      }
    }
    return fail("no_capacity", `service ${req.service} has no capacity`, {
      outcome: "not-run",
      retryAfterMs: RETRY_DELAY_MS,
    });
  }

  #take(row: EndpointRow): Slot {
    row.inFlight += 1;
    let held = true;
    const release = () => {
      if (held) row.inFlight -= 1;
      held = false;
    };
    const { url, zone } = row.entry;
    const unused = { answered: () => {}, stated: () => {} };
    return { endpoint: row.id, url, zone, ...unused, release };
  }
}

function makeRow(
  id: EndpointId,
  entry: EndpointEntry,
  known: ReadonlyMap<EndpointId, EndpointRow>,
): EndpointRow {
  const row = known.get(id);
  if (row === undefined) return { id, entry, inFlight: 0 };
  row.entry = entry;
  return row;
}
