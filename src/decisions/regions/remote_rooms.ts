/**
 * Room at other instances, as they told it, and how much of it may be used.
 *
 * Answers big moves and measurements that stop. Work sent over at full speed
 * meets cold caches, which shows as a latency peak where it arrives; so use of
 * a zone grows over some seconds. When an instance is no longer heard, its
 * last figure shrinks by and by: to go on as if it held would overload a
 * region that fell ill, to drop to nothing would refuse work that could run.
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

/** An instance that work may be sent through. */
export interface RemotePeer {
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly peerUrl: string;
}

/** Room at one instance for one service. */
export interface RemoteRoom {
  readonly peer: RemotePeer;
  granted: number;
  heardAt: number;
  inFlight: number;
  blockedUntil: number;
}

interface Warmth {
  part: number;
  at: number;
  usedAt: number;
}

/** A figure is taken as it is for this long: ten ticks. */
const FRESH_MS = 1_000;
/** After that it halves in this time. */
const HALF_LIFE_MS = 3_000;
/** Part of the last figure below which caution does not go. */
const CAUTION_PART = 0.1;
/**
 * Use of a zone grows from half to all of what is granted in 3 s. From a
 * quarter in 5 s, a planned drain of one region of three refused 85 of its
 * first 316 requests; the granted figure already leaves the headroom free.
 */
const WARM_START = 0.5;
const WARM_MS = 3_000;
/** A zone unused this long is cold again. */
const COLD_AFTER_MS = 60_000;
/** An instance that could not be reached is left out this long. */
const UNREACHABLE_MS = 1_000;

/** Sums of small parts fall short of a whole by less than this. */
const ROUNDING = 1e-9;

/** The table of room elsewhere. */
export class RemoteRooms {
  readonly #rooms = new Map<ServiceId, Map<InstanceId, RemoteRoom>>();
  readonly #warmth = new Map<string, Warmth>();

  /** Takes in what an instance grants. */
  tell(service: ServiceId, peer: RemotePeer, told: {
    granted: number;
    now: number;
  }): void {
    const rooms = this.#rooms.get(service) ?? new Map();
    this.#rooms.set(service, rooms);
    const { granted, now } = told;
    const known = rooms.get(peer.instance);
    // Slots taken earlier hold the row, so it is changed and not replaced.
    if (known) Object.assign(known, { peer, granted, heardAt: now });
    else rooms.set(peer.instance, newRoom(peer, granted, now));
  }

  /** Requests running elsewhere. */
  inFlight(service: ServiceId): number {
    const rooms = this.#rooms.get(service)?.values() ?? [];
    return [...rooms].reduce((n, r) => n + r.inFlight, 0);
  }

  /** Requests that may be in flight elsewhere at once, over all instances. */
  allowedInAll(service: ServiceId, now: number): number {
    const rooms = this.#rooms.get(service)?.values() ?? [];
    return [...rooms].reduce((n, r) => n + this.allowed(service, r, now), 0);
  }

  /** Whether any instance has lately told what it grants. */
  isFresh(service: ServiceId, now: number): boolean {
    const rooms = this.#rooms.get(service)?.values() ?? [];
    return [...rooms].some((r) => now - r.heardAt <= FRESH_MS);
  }

  /** Requests running through the instances that `at` picks. */
  inFlightAt(at: (peer: RemotePeer) => boolean): number {
    let sum = 0;
    for (const rooms of this.#rooms.values()) {
      for (const { peer, inFlight } of rooms.values()) {
        if (at(peer)) sum += inFlight;
      }
    }
    return sum;
  }

  /** The better of two random rooms that `accept` takes; undefined if none. */
  choose(question: {
    service: ServiceId;
    exclude: ReadonlySet<EndpointId> | undefined;
    now: number;
    accept: (peer: RemotePeer) => boolean;
  }, random: Random): RemoteRoom | undefined {
    const { service, exclude, now, accept } = question;
    const rooms = [...this.#rooms.get(service)?.values() ?? []].filter((r) =>
      accept(r.peer) && !exclude?.has(remoteId(r.peer)) &&
      r.inFlight < this.allowed(service, r, now)
    );
    const first = rooms[random.below(Math.max(1, rooms.length))];
    const second = rooms[random.below(Math.max(1, rooms.length))];
    if (first === undefined || second === undefined) return undefined;
    return this.#load(service, first, now) <= this.#load(service, second, now)
      ? first
      : second;
  }

  /** Takes one place in a room; `release` gives it back. */
  take(service: ServiceId, room: RemoteRoom, now: number): void {
    room.inFlight += 1;
    this.#use(service, room.peer.zone, now);
  }

  /** Gives a place back. */
  release(room: RemoteRoom, result: "fine" | "full" | "lost", now: number) {
    room.inFlight -= 1;
    if (result === "full") room.granted = Math.min(room.granted, room.inFlight);
    if (result === "lost") room.blockedUntil = now + UNREACHABLE_MS;
  }

  /** Requests that may be in flight there at once. */
  allowed(service: ServiceId, room: RemoteRoom, now: number): number {
    if (room.granted === 0 || room.blockedUntil > now) return 0;
    const figure = room.granted * aged(now - room.heardAt) *
      this.#warm(service, room.peer.zone, now);
    return Math.max(1, Math.floor(figure + ROUNDING));
  }

  /** Forgets instances that are known no more. */
  retain(known: ReadonlySet<string>): void {
    for (const rooms of this.#rooms.values()) {
      for (const [id, room] of rooms) {
        if (!known.has(id) && room.inFlight === 0) rooms.delete(id);
      }
    }
  }

  #load(service: ServiceId, room: RemoteRoom, now: number): number {
    return (room.inFlight + 1) / this.allowed(service, room, now);
  }

  #warm(service: ServiceId, zone: ZoneId, now: number): number {
    const known = this.#warmth.get(`${service} ${zone}`);
    if (known === undefined) return WARM_START;
    return now - known.usedAt > COLD_AFTER_MS ? WARM_START : known.part;
  }

  #use(service: ServiceId, zone: ZoneId, now: number): void {
    const key = `${service} ${zone}`;
    const part = this.#warm(service, zone, now);
    const at = this.#warmth.get(key)?.at ?? now;
    const grown = Math.min(FRESH_MS, now - at) / WARM_MS * (1 - WARM_START);
    this.#warmth.set(key, {
      part: Math.min(1, part + grown),
      at: now,
      usedAt: now,
    });
  }
}

function newRoom(
  peer: RemotePeer,
  granted: number,
  now: number,
): RemoteRoom {
  return { peer, granted, heardAt: now, inFlight: 0, blockedUntil: -Infinity };
}

/** How much of a figure still counts after `ms` milliseconds of silence. */
export function aged(ms: number): number {
  if (ms <= FRESH_MS) return 1;
  return Math.max(CAUTION_PART, 0.5 ** ((ms - FRESH_MS) / HALF_LIFE_MS));
}

/** Stands for an instance among the endpoints that a request was tried at. */
export function remoteId(peer: RemotePeer): EndpointId {
  return `via:${peer.instance}` as EndpointId;
}
