/**
 * The document's sites at an instance: which availability zones a client's
 * address should be sent to.
 *
 * @module
 */
import type { ZoneId } from "../core/mod.ts";
import { ClientSiteMap, type SiteSection } from "../decisions/clients/mod.ts";
import type { SteeringDocument } from "../document/mod.ts";
import type { System } from "./tick_loop.ts";

/**
 * Parts rebuilt each tick. A part takes up to a third of a millisecond at 1.2
 * million blocks, so requests wait some twenty milliseconds at most, and a
 * change of a whole section is in force after about six seconds.
 */
const PARTS_PER_TICK = 64;

/** Zones by client address; a changed section takes effect over some ticks. */
export class ClientSites implements System {
  readonly name = "sites";
  readonly #map = new ClientSiteMap();
  readonly #held = new Map<string, SiteSection>();
  #sites: SteeringDocument["sites"] = {};

  /** Takes over the sites of a newly accepted document. */
  adopt({ sites, siteBlocks }: SteeringDocument): void {
    this.#sites = sites;
    for (const name of [...this.#held.keys()]) {
      if (!Object.hasOwn(siteBlocks, name)) this.#drop(name);
    }
    for (const [name, section] of Object.entries(siteBlocks)) {
      if (this.#held.get(name) === section) continue;
      this.#held.set(name, section);
      this.#map.replace(name, section);
    }
  }

  /** Rebuilds all that is stale at once; for an instance that serves nobody yet. */
  settle(): void {
    this.#map.rebuild(Infinity);
  }

  run(): void {
    if (this.#map.stale > 0) this.#map.rebuild(PARTS_PER_TICK);
  }

  /** Zones for a client address, the best first; none where no block has it. */
  zonesFor(address: string): readonly ZoneId[] {
    const site = this.#map.siteOf(address);
    const sites = this.#sites as Readonly<Record<string, { zones: ZoneId[] }>>;
    return site === undefined ? [] : sites[site]?.zones ?? [];
  }

  #drop(name: string): void {
    this.#held.delete(name);
    this.#map.remove(name);
  }
}
