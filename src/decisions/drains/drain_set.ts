/**
 * Lookup of what the document's drains exclude from new work.
 *
 * @module
 */
import type { EndpointId, InstanceId, ZoneId } from "../../core/mod.ts";
import {
  type EndpointEntry,
  type SteeringDocument,
  zonesOf,
} from "../../document/mod.ts";

/** The drained endpoints, zones and instances of a document, as sets. */
export class DrainSet {
  readonly #endpoints = new Set<string>();
  readonly #zones = new Set<string>();
  readonly #instances = new Set<string>();

  constructor(document: SteeringDocument) {
    const regions = new Set<string>();
    const kinds = {
      endpoint: this.#endpoints,
      zone: this.#zones,
      region: regions,
      instance: this.#instances,
    };
    for (const drain of document.drains) kinds[drain.kind].add(drain.id);
    for (const { zone, region } of zonesOf(document)) {
      if (regions.has(region)) this.#zones.add(zone);
    }
  }

  endpoint(id: EndpointId, entry: EndpointEntry): boolean {
    return this.#endpoints.has(id) || this.#zones.has(entry.zone);
  }

  zone(zone: ZoneId): boolean {
    return this.#zones.has(zone);
  }

  instance(id: InstanceId): boolean {
    return this.#instances.has(id);
  }
}
