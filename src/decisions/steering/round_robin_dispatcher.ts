/**
 * The plain baseline: endpoints of the own availability zone in turn, slots
 * split evenly over the zone's instances, and no queue.
 *
 * What goes wrong with it: one instance refuses while its neighbour has slots
 * free, a burst is refused that a short wait would have served, and a slow
 * endpoint gets as much work as a quick one. Callers see refusals at half
 * load and a long tail.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import {
  type EndpointId,
  fail,
  type Failure,
  type ServiceId,
  type ZoneId,
} from "../../core/mod.ts";
import type { EndpointEntry, SteeringDocument } from "../../document/mod.ts";
import type { Dispatcher, Slot, SteeringRequest } from "./dispatcher.ts";

/** Where this instance stands among its zone's instances. */
export interface ZoneSeat {
  readonly zone: ZoneId;
  /** From 0, below `of`; no two instances of a zone have the same. */
  readonly index: number;
  readonly of: number;
}

interface EndpointRow {
  readonly id: EndpointId;
  readonly entry: EndpointEntry;
  limit: number;
  inFlight: number;
}

const RETRY_AFTER_MS = 100;

/** Round robin over the zone's endpoints, without waiting. */
export class RoundRobinDispatcher implements Dispatcher {
  readonly #seat: () => ZoneSeat | undefined;
  #rows = new Map<ServiceId, EndpointRow[]>();
  #turn = 0;

  constructor(seat: () => ZoneSeat | undefined) {
    this.#seat = seat;
  }

  adopt(document: SteeringDocument): void {
    const before = this.#rows;
    this.#rows = new Map();
    const drained = new Set<string>(document.drains.map((d) => d.id));
    const seat = this.#seat();
    for (const [id, service] of Object.entries(document.services)) {
      const serviceId = id as ServiceId;
      const known = new Map(before.get(serviceId)?.map((r) => [r.id, r]));
      const rows = Object.entries(service.endpoints)
        .filter(([id, e]) => e.zone === seat?.zone && !drained.has(id))
        .map(([id, entry]) => makeRow(id as EndpointId, entry, known, seat));
      this.#rows.set(serviceId, rows);
    }
  }

  acquire(req: SteeringRequest): Promise<Result<Slot, Failure>> {
    return Promise.resolve(this.#acquire(req));
  }

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
    for (let i = 0; i < rows.length; i++) {
      const row = rows[this.#turn++ % rows.length];
      if (row === undefined || req.exclude?.has(row.id)) continue;
      if (row.inFlight < row.limit) return ok(this.#take(row));
    }
    return fail("no_capacity", `service ${req.service} has no room`, {
      outcome: "not-run",
      retryAfterMs: RETRY_AFTER_MS,
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
    return { endpoint: row.id, url, zone, release };
  }
}

function makeRow(
  id: EndpointId,
  entry: EndpointEntry,
  known: ReadonlyMap<EndpointId, EndpointRow>,
  seat: ZoneSeat | undefined,
): EndpointRow {
  const limit = seat ? evenPart(entry.slots, seat) : 0;
  const row = known.get(id);
  if (row === undefined) return { id, entry, limit, inFlight: 0 };
  row.limit = limit;
  return row;
}

/** The part of `total` that falls to a seat; all seats' parts add up to it. */
export function evenPart(total: number, seat: ZoneSeat): number {
  const rest = total % seat.of;
  return Math.floor(total / seat.of) + (seat.index < rest ? 1 : 0);
}
