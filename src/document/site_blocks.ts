/**
 * Packs the client address blocks of a section. As strings, 1.2 million blocks
 * would exceed the memory allowed for the control plane on a node.
 *
 * @module
 */
import type { ZoneId } from "../core/mod.ts";
import {
  type CidrBlock,
  packBlocks,
  parseBlock,
  type SiteBlock,
  type SiteSection,
} from "../decisions/clients/mod.ts";
import type { SectionName, SitesSection } from "./sections.ts";

/** A site's zones, in order of preference. */
export interface Site {
  readonly zones: readonly ZoneId[];
}

/** A `sites` section in its in-memory form. */
export interface PackedSites extends Record<string, unknown> {
  readonly sites: Record<string, Site>;
  readonly siteBlocks: Record<string, SiteSection>;
}

/** Moves the blocks of a validated section into packed arrays. */
export function packSites(
  name: SectionName,
  section: SitesSection,
): PackedSites {
  const names = Object.keys(section.sites);
  const blocks: SiteBlock[] = [];
  const sites: Record<string, Site> = {};
  for (const [index, [id, site]] of Object.entries(section.sites).entries()) {
    sites[id] = { zones: site.zones };
    for (const text of site.blocks) {
      blocks.push({ ...parseBlock(text) as CidrBlock, site: index });
    }
  }
  return {
    sites,
    siteBlocks: { [name]: { names, blocks: packBlocks(blocks) } },
  };
}
