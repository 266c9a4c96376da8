/**
 * The whole steering document: sections merged by kind and checked against
 * each other, so that what is in force never names something that is missing.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import {
  type AccountId,
  checkValue,
  combine,
  fail,
  type Failure,
  failure,
  type FailurePath,
  type RegionId,
  type ServiceId,
  type SiteId,
  type ZoneId,
} from "../core/mod.ts";
import {
  type AccessSection,
  type AccountsSection,
  type DrainEntry,
  kindOf,
  type RatesSection,
  type RegionsSection,
  SECTION_SCHEMAS,
  SectionName,
  type ServicesSection,
  type SitesSection,
} from "./sections.ts";
import type { SiteSection } from "../decisions/clients/mod.ts";
import { packSites, type Site } from "./site_blocks.ts";

/** Sections by name, as parsed JSON. */
export type RawSections = Readonly<Record<string, unknown>>;

/** A checked document. */
export interface SteeringDocument {
  readonly roles: AccessSection["roles"];
  readonly accounts: AccountsSection["accounts"];
  readonly rates: RatesSection["rates"];
  readonly regions: RegionsSection["regions"];
  readonly links: RegionsSection["links"];
  readonly services: ServicesSection["services"];
  readonly sites: Readonly<Record<SiteId, Site>>;
  /** Client blocks of each section that has sites, by the section's name. */
  readonly siteBlocks: Readonly<Record<string, SiteSection>>;
  readonly drains: readonly DrainEntry[];
}

/** An account of the document. */
export type Account = SteeringDocument["accounts"][AccountId];
/** A service of the document. */
export type Service = SteeringDocument["services"][ServiceId];

/**
 * Checks sections one by one, merges them, and checks them against each other.
 *
 * Errors: `bad_section` (one section alone is wrong; the path begins with its
 * name) and `bad_document` (sections contradict each other).
 *
 * @example
 * ```ts
 * const document = parseDocument({ rates: { rates: {} } });
 * if (document.isErr()) console.error(describe(document.error));
 * ```
 */
export function parseDocument(
  raw: RawSections,
  parse: SectionParser = parseSection,
): Result<SteeringDocument, Failure> {
  const merged = emptyDocument();
  const issues: Failure[] = [];
  for (const [name, value] of Object.entries(raw)) {
    const section = parse(name, value);
    if (section.isErr()) {
      issues.push(...section.error.issues ?? [section.error]);
    } else issues.push(...merge(merged, name as SectionName, section.value));
  }
  if (issues.length === 0) issues.push(...crossCheck(merged));
  const [first] = issues;
  if (first === undefined) return ok(merged);
  return err(combine(first.code, issues));
}

/** Checks one section alone, as {@link parseSection} does. */
export type SectionParser = (
  name: string,
  value: unknown,
) => Result<Record<string, unknown>, Failure>;

/**
 * Remembers how each section last read, so that a change of one section does
 * not check all others again: at a million client blocks that would stop the
 * process for seconds at every edit.
 *
 * @example
 * ```ts
 * const sections = new SectionMemo();
 * parseDocument(raw, sections.parse);
 * ```
 */
export class SectionMemo {
  readonly #last = new Map<string, ReadSection>();

  /** Values are compared by identity and must not be changed. */
  readonly parse: SectionParser = (name, value) => {
    const last = this.#last.get(name);
    if (last !== undefined && last.value === value) return last.result;
    const result = parseSection(name, value);
    this.#last.set(name, { value, result });
    return result;
  };
}

interface ReadSection {
  readonly value: unknown;
  readonly result: Result<Record<string, unknown>, Failure>;
}

/**
 * Checks one section alone.
 *
 * @example
 * ```ts
 * parseSection("drains", { drains: [{ kind: "zone", id: "gulf-a" }] });
 * ```
 */
export function parseSection(
  name: string,
  value: unknown,
): Result<Record<string, unknown>, Failure> {
  const sectionName = SectionName.safeParse(name);
  if (!sectionName.success) {
    return fail(
      "bad_section",
      `section name ${sectionName.error.issues[0]?.message}`,
      {
        path: [name],
      },
    );
  }
  const schema: z.ZodType<Record<string, unknown>> =
    SECTION_SCHEMAS[kindOf(sectionName.data)];
  return checkValue("bad_section", schema, value)
    .map((section) => compact(sectionName.data, section))
    .mapErr((found) => ({
      ...found,
      path: [name, ...found.path],
      issues: found.issues?.map((i) => ({ ...i, path: [name, ...i.path] })),
    }));
}

/** A section as the document holds it: blocks go into packed arrays. */
function compact(
  name: SectionName,
  section: Record<string, unknown>,
): Record<string, unknown> {
  if (kindOf(name) !== "sites") return section;
  return packSites(name, section as SitesSection);
}

/** A document with nothing in it. */
export function emptyDocument(): Mutable<SteeringDocument> {
  return {
    roles: {},
    accounts: {},
    rates: {},
    regions: {},
    links: [],
    services: {},
    sites: {},
    siteBlocks: {},
    drains: [],
  };
}

type Mutable<T> = { -readonly [K in keyof T]: T[K] };

/** Takes a section in; what another section of its kind already names is refused. */
function merge(
  document: Mutable<SteeringDocument>,
  name: SectionName,
  section: Record<string, unknown>,
): Failure[] {
  const issues: Failure[] = [];
  for (const [field, value] of Object.entries(section)) {
    if (Array.isArray(value)) {
      Object.assign(document, {
        [field]: [...(document as Fields)[field] as unknown[], ...value],
      });
      continue;
    }
    const into = (document as Fields)[field] as Record<string, unknown>;
    for (const [id, entry] of Object.entries(value as object)) {
      if (Object.hasOwn(into, id)) {
        issues.push(
          failure("bad_document", "is also named by another section", {
            path: [name, field, id],
          }),
        );
      } else into[id] = entry;
    }
  }
  return issues;
}

type Fields = Record<string, unknown>;

function crossCheck(document: SteeringDocument): Failure[] {
  return [
    ...checkRates(document),
    ...checkZones(document),
    ...checkLinks(document),
    ...checkSites(document),
    ...checkKeys(document),
  ];
}

function missing(path: FailurePath, what: string): Failure {
  return failure("bad_document", `names ${what}, which no section has`, {
    path,
  });
}

function checkRates(document: SteeringDocument): Failure[] {
  return Object.keys(document.rates)
    .filter((id) => !Object.hasOwn(document.accounts, id))
    .map((id) => missing(["rates", id], `account ${id}`));
}

function checkZones(document: SteeringDocument): Failure[] {
  const zones = new Set(zonesOf(document).map((z) => z.zone));
  const issues: Failure[] = [];
  for (const [serviceId, service] of Object.entries(document.services)) {
    for (const [endpointId, endpoint] of Object.entries(service.endpoints)) {
      if (zones.has(endpoint.zone)) continue;
      const path = ["services", serviceId, "endpoints", endpointId, "zone"];
      issues.push(missing(path, `availability zone ${endpoint.zone}`));
    }
  }
  return issues;
}

function checkSites(document: SteeringDocument): Failure[] {
  const zones = new Set<string>(zonesOf(document).map((z) => z.zone));
  return Object.entries(document.sites).flatMap(([id, site]) =>
    [...site.zones.entries()].filter(([, zone]) => !zones.has(zone))
      .map(([i, zone]) =>
        missing(["sites", id, "zones", i], `availability zone ${zone}`)
      )
  );
}

function checkLinks(document: SteeringDocument): Failure[] {
  return document.links.flatMap((link, i) =>
    ([["from", link.from], ["to", link.to]] as const)
      .filter(([, region]) => !Object.hasOwn(document.regions, region))
      .map(([end, region]) => missing(["links", i, end], `region ${region}`))
  );
}

/** Two accounts with one key would let one act for the other. */
function checkKeys(document: SteeringDocument): Failure[] {
  const seen = new Map<string, string>();
  const issues: Failure[] = [];
  for (const [accountId, account] of Object.entries(document.accounts)) {
    for (const [i, key] of account.keys.entries()) {
      const other = seen.get(key.sha256);
      if (other !== undefined) {
        issues.push(
          failure("bad_document", `has the same key as account ${other}`, {
            path: ["accounts", accountId, "keys", i],
          }),
        );
      }
      seen.set(key.sha256, accountId);
    }
  }
  return issues;
}

/** An availability zone and where it stands. */
export interface ZoneEntry {
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly instances: number;
}

/** Zones by the regions they were read from; a document never changes. */
const zonesByRegions = new WeakMap<
  SteeringDocument["regions"],
  readonly ZoneEntry[]
>();

/**
 * Every availability zone of a document, in the document's order. Leases ask
 * for it at every spending, so it is worked out once a document.
 */
export function zonesOf(document: SteeringDocument): readonly ZoneEntry[] {
  const known = zonesByRegions.get(document.regions);
  if (known !== undefined) return known;
  const zones = listZones(document);
  zonesByRegions.set(document.regions, zones);
  return zones;
}

function listZones(document: SteeringDocument): ZoneEntry[] {
  return Object.entries(document.regions).flatMap(([region, entry]) =>
    Object.entries(entry.zones).map(([zone, { instances }]) => ({
      zone: zone as ZoneId,
      region: region as RegionId,
      instances,
    }))
  );
}
