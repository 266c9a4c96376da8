/**
 * Capacity that other instances granted, and how much of it may be used.
 *
 * Handles large shifts of traffic and missing updates. A sudden shift meets
 * cold caches and causes a latency peak, so use of a zone ramps up in seconds.
 * The last grant of a silent instance decays: to use all of it could overload a
 * failing region, to use none would refuse requests that can be served.
 *
 * @module
 */
import type {
  EndpointId,
  InstanceId,
  Random,
  RegionId,
  ServiceId,
  ZoneId,
} from "../../core/mod.ts";

/** An instance that requests may be forwarded to. */
export interface RemotePeer {
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly peerUrl: string;
}

/** Capacity granted by one instance for one service. */
export interface RemoteCapacity {
  readonly peer: RemotePeer;
  granted: number;
  receivedAt: number;
  inFlight: number;
  blockedUntil: number;
}

interface RampUp {
  part: number;
  at: number;
  usedAt: number;
}

/** A grant counts in full for this long: ten ticks. */
const GRANT_FRESH_MS = 1_000;
/** After that it decays with this half-life. */
const GRANT_HALF_LIFE_MS = 3_000;
/** Lower bound of the decay, as a fraction of the last grant. */
const MIN_GRANT_RATIO = 0.1;
/**
 * Use of a zone ramps up from half of the grant to all of it in 3 s. With a
 * quarter and 5 s, a planned drain of one region of three refused 85 of its
 * first 316 requests. The grant already excludes the headroom.
 */
const RAMP_UP_START = 0.5;
const RAMP_UP_MS = 3_000;
/** A zone unused for longer than this ramps up again. */
const RAMP_UP_RESET_MS = 60_000;
/** An instance is skipped for this long after a request to it failed. */
const FAILED_SKIP_MS = 1_000;

/** Compensates floating-point error of summed ramp-up steps. */
const ROUNDING_EPSILON = 1e-9;

/** Granted capacity by service and instance. */
export class RemoteCapacityTable {
  readonly #byService = new Map<ServiceId, Map<InstanceId, RemoteCapacity>>();
  readonly #rampUps = new Map<string, RampUp>();

  /** Stores the grant of an instance. */
  update(service: ServiceId, peer: RemotePeer, grant: {
    granted: number;
    now: number;
  }): void {
    const rows = this.#byService.get(service) ?? new Map();
    this.#byService.set(service, rows);
    const { granted, now } = grant;
    const known = rows.get(peer.instance);
    // Held slots refer to the object, so it is updated and not replaced.
    if (known) Object.assign(known, { peer, granted, receivedAt: now });
    else rows.set(peer.instance, newRemoteCapacity(peer, granted, now));
  }

  /** Forwarded requests in flight. */
  inFlight(service: ServiceId): number {
    const rows = this.#byService.get(service)?.values() ?? [];
    return [...rows].reduce((n, r) => n + r.inFlight, 0);
  }

  /** Forwarded requests that may be in flight, over all instances. */
  totalAllowed(service: ServiceId, now: number): number {
    const rows = this.#byService.get(service)?.values() ?? [];
    return [...rows].reduce((n, r) => n + this.allowed(service, r, now), 0);
  }

  /** Whether any instance sent a recent grant. */
  hasFreshGrant(service: ServiceId, now: number): boolean {
    const rows = this.#byService.get(service)?.values() ?? [];
    return [...rows].some((r) => now - r.receivedAt <= GRANT_FRESH_MS);
  }

  /** Requests in flight through the instances that the predicate selects. */
  inFlightWhere(at: (peer: RemotePeer) => boolean): number {
    let sum = 0;
    for (const rows of this.#byService.values()) {
      for (const { peer, inFlight } of rows.values()) {
        if (at(peer)) sum += inFlight;
      }
    }
    return sum;
  }

  /** The less loaded of two random instances with capacity, if there is one. */
  choose(criteria: {
    service: ServiceId;
    exclude: ReadonlySet<EndpointId> | undefined;
    now: number;
    accept: (peer: RemotePeer) => boolean;
  }, random: Random): RemoteCapacity | undefined {
    const { service, exclude, now, accept } = criteria;
    const rows = [...this.#byService.get(service)?.values() ?? []].filter((
      r,
    ) =>
      accept(r.peer) && !exclude?.has(remoteEndpointId(r.peer)) &&
      r.inFlight < this.allowed(service, r, now)
    );
    const first = rows[random.below(Math.max(1, rows.length))];
    const second = rows[random.below(Math.max(1, rows.length))];
    if (first === undefined || second === undefined) return undefined;
    return this.#load(service, first, now) <= this.#load(service, second, now)
      ? first
      : second;
  }

  /** Counts one request in flight, until `release`. */
  take(service: ServiceId, row: RemoteCapacity, now: number): void {
    row.inFlight += 1;
    this.#recordUse(service, row.peer.zone, now);
  }

  /** `full` caps the grant at what is in flight; `lost` skips the instance. */
  release(
    row: RemoteCapacity,
    result: "fine" | "full" | "lost",
    now: number,
  ) {
    row.inFlight -= 1;
    if (result === "full") row.granted = Math.min(row.granted, row.inFlight);
    if (result === "lost") row.blockedUntil = now + FAILED_SKIP_MS;
  }

  /** Requests that may be in flight at one instance. */
  allowed(service: ServiceId, row: RemoteCapacity, now: number): number {
    if (row.granted === 0 || row.blockedUntil > now) return 0;
    const limit = row.granted * staleFactor(now - row.receivedAt) *
      this.#rampUpPart(service, row.peer.zone, now);
    return Math.max(1, Math.floor(limit + ROUNDING_EPSILON));
  }

  /** Removes instances not in `known` once no request is in flight there. */
  retain(known: ReadonlySet<string>): void {
    for (const rows of this.#byService.values()) {
      for (const [id, row] of rows) {
        if (!known.has(id) && row.inFlight === 0) rows.delete(id);
      }
    }
  }

  #load(service: ServiceId, row: RemoteCapacity, now: number): number {
    return (row.inFlight + 1) / this.allowed(service, row, now);
  }

  #rampUpPart(service: ServiceId, zone: ZoneId, now: number): number {
    const known = this.#rampUps.get(`${service} ${zone}`);
    if (known === undefined) return RAMP_UP_START;
    return now - known.usedAt > RAMP_UP_RESET_MS ? RAMP_UP_START : known.part;
  }

  #recordUse(service: ServiceId, zone: ZoneId, now: number): void {
    const key = `${service} ${zone}`;
    const part = this.#rampUpPart(service, zone, now);
    const at = this.#rampUps.get(key)?.at ?? now;
    const grown = Math.min(GRANT_FRESH_MS, now - at) / RAMP_UP_MS *
      (1 - RAMP_UP_START);
    this.#rampUps.set(key, {
      part: Math.min(1, part + grown),
      at: now,
      usedAt: now,
    });
  }
}

function newRemoteCapacity(
  peer: RemotePeer,
  granted: number,
  now: number,
): RemoteCapacity {
  return {
    peer,
    granted,
    receivedAt: now,
    inFlight: 0,
    blockedUntil: -Infinity,
  };
}

/** Fraction of a grant that counts `ms` milliseconds after its receipt. */
export function staleFactor(ms: number): number {
  if (ms <= GRANT_FRESH_MS) return 1;
  return Math.max(
    MIN_GRANT_RATIO,
    0.5 ** ((ms - GRANT_FRESH_MS) / GRANT_HALF_LIFE_MS),
  );
}

/** Endpoint id that represents an instance in a request's list of attempts. */
export function remoteEndpointId(peer: RemotePeer): EndpointId {
  return `via:${peer.instance}` as EndpointId;
}
