/**
 * Maps a client's address to its availability zones, using the document's sites.
 *
 * @module
 */
import type { ZoneId } from "../core/mod.ts";
import { ClientSiteMap, type SiteSection } from "../decisions/clients/mod.ts";
import type { SteeringDocument } from "../document/mod.ts";
import type { TickTask } from "./tick_loop.ts";

/**
 * A partition takes up to a third of a millisecond to rebuild at 1.2 million
 * blocks, so a tick delays requests by about 20 ms at most, and a change to a
 * whole section takes effect after about 6 s.
 */
const PARTITIONS_PER_TICK = 64;

/** Zones by client address; changed sections take effect over several ticks. */
export class ClientSites implements TickTask {
  readonly name = "sites";
  readonly #map = new ClientSiteMap();
  readonly #sections = new Map<string, SiteSection>();
  #sites: SteeringDocument["sites"] = {};

  /** Adopts the sites of a newly accepted document. */
  adopt({ sites, siteBlocks }: SteeringDocument): void {
    this.#sites = sites;
    for (const name of [...this.#sections.keys()]) {
      if (!Object.hasOwn(siteBlocks, name)) this.#removeSection(name);
    }
    for (const [name, section] of Object.entries(siteBlocks)) {
      if (this.#sections.get(name) === section) continue;
      this.#sections.set(name, section);
      this.#map.replace(name, section);
    }
  }

  /** Rebuilds all stale partitions at once, for an instance not yet serving. */
  rebuildAll(): void {
    this.#map.rebuild(Infinity);
  }

  run(): void {
    if (this.#map.stale > 0) this.#map.rebuild(PARTITIONS_PER_TICK);
  }

  /** Zones for a client address, best first; empty if no block contains it. */
  zonesFor(address: string): readonly ZoneId[] {
    const site = this.#map.siteOf(address);
    const sites = this.#sites as Readonly<Record<string, { zones: ZoneId[] }>>;
    return site === undefined ? [] : sites[site]?.zones ?? [];
  }

  #removeSection(name: string): void {
    this.#sections.delete(name);
    this.#map.remove(name);
  }
}
