/**
 * The complete steering document: sections merged by kind and checked against
 * each other, so that the active document has no dangling references.
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
  type RatesSection,
  type RegionsSection,
  SECTION_SCHEMAS,
  sectionKindOf,
  SectionName,
  type ServicesSection,
  type SitesSection,
} from "./sections.ts";
import type { SiteSection } from "../decisions/clients/mod.ts";
import { packSites, type Site } from "./site_blocks.ts";

/** Sections by name, as parsed JSON. */
export type RawSections = Readonly<Record<string, unknown>>;

/** A validated document. */
export interface SteeringDocument {
  readonly roles: AccessSection["roles"];
  readonly accounts: AccountsSection["accounts"];
  readonly rates: RatesSection["rates"];
  readonly regions: RegionsSection["regions"];
  readonly links: RegionsSection["links"];
  readonly services: ServicesSection["services"];
  readonly sites: Readonly<Record<SiteId, Site>>;
  /** Client address blocks of each `sites` section, by section name. */
  readonly siteBlocks: Readonly<Record<string, SiteSection>>;
  readonly drains: readonly DrainEntry[];
}

/** An account of the document. */
export type Account = SteeringDocument["accounts"][AccountId];
/** A service of the document. */
export type Service = SteeringDocument["services"][ServiceId];

/**
 * Validates each section, merges them, and checks them against each other.
 *
 * Errors: `bad_section` (a section is invalid on its own; the path starts with
 * its name) and `bad_document` (sections are inconsistent with each other).
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
  if (issues.length === 0) issues.push(...checkConsistency(merged));
  const [first] = issues;
  if (first === undefined) return ok(merged);
  return err(combine(first.code, issues));
}

/** Validates one section on its own, as {@link parseSection} does. */
export type SectionParser = (
  name: string,
  value: unknown,
) => Result<Record<string, unknown>, Failure>;

/**
 * Caches the last parse of each section, so that a change of one section does
 * not parse all others again: with a million client address blocks that would
 * block the event loop for seconds at every edit.
 *
 * @example
 * ```ts
 * const sections = new SectionCache();
 * parseDocument(raw, sections.parse);
 * ```
 */
export class SectionCache {
  readonly #previous = new Map<string, ParsedSection>();

  /** Compares values by identity, so they must not be mutated. */
  readonly parse: SectionParser = (name, value) => {
    const prev = this.#previous.get(name);
    if (prev !== undefined && prev.value === value) return prev.result;
    const result = parseSection(name, value);
    this.#previous.set(name, { value, result });
    return result;
  };
}

interface ParsedSection {
  readonly value: unknown;
  readonly result: Result<Record<string, unknown>, Failure>;
}

/**
 * Validates one section on its own.
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
    SECTION_SCHEMAS[sectionKindOf(sectionName.data)];
  return checkValue("bad_section", schema, value)
    .map((section) => packSection(sectionName.data, section))
    .mapErr((found) => ({
      ...found,
      path: [name, ...found.path],
      issues: found.issues?.map((i) => ({ ...i, path: [name, ...i.path] })),
    }));
}

/** Converts a section to its in-memory form, with blocks in packed arrays. */
function packSection(
  name: SectionName,
  section: Record<string, unknown>,
): Record<string, unknown> {
  if (sectionKindOf(name) !== "sites") return section;
  return packSites(name, section as SitesSection);
}

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

/** Merges a section; ids that another section of its kind defines are issues. */
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
    const target = (document as Fields)[field] as Record<string, unknown>;
    for (const [id, entry] of Object.entries(value as object)) {
      if (Object.hasOwn(target, id)) {
        issues.push(
          failure("bad_document", "is also defined by another section", {
            path: [name, field, id],
          }),
        );
      } else target[id] = entry;
    }
  }
  return issues;
}

type Fields = Record<string, unknown>;

function checkConsistency(document: SteeringDocument): Failure[] {
  return [
    ...checkRates(document),
    ...checkZones(document),
    ...checkLinks(document),
    ...checkSites(document),
    ...checkKeys(document),
  ];
}

function danglingReference(path: FailurePath, what: string): Failure {
  return failure(
    "bad_document",
    `names ${what}, which no section defines`,
    {
      path,
    },
  );
}

function checkRates(document: SteeringDocument): Failure[] {
  return Object.keys(document.rates)
    .filter((id) => !Object.hasOwn(document.accounts, id))
    .map((id) => danglingReference(["rates", id], `account ${id}`));
}

function checkZones(document: SteeringDocument): Failure[] {
  const zones = new Set(zonesOf(document).map((z) => z.zone));
  const issues: Failure[] = [];
  for (const [serviceId, service] of Object.entries(document.services)) {
    for (const [endpointId, endpoint] of Object.entries(service.endpoints)) {
      if (zones.has(endpoint.zone)) continue;
      const path = ["services", serviceId, "endpoints", endpointId, "zone"];
      issues.push(
        danglingReference(path, `availability zone ${endpoint.zone}`),
      );
    }
  }
  return issues;
}

function checkSites(document: SteeringDocument): Failure[] {
  const zones = new Set<string>(zonesOf(document).map((z) => z.zone));
  return Object.entries(document.sites).flatMap(([id, site]) =>
    [...site.zones.entries()].filter(([, zone]) => !zones.has(zone))
      .map(([i, zone]) =>
        danglingReference(
          ["sites", id, "zones", i],
          `availability zone ${zone}`,
        )
      )
  );
}

function checkLinks(document: SteeringDocument): Failure[] {
  return document.links.flatMap((link, i) =>
    ([["from", link.from], ["to", link.to]] as const)
      .filter(([, region]) => !Object.hasOwn(document.regions, region))
      .map(([end, region]) =>
        danglingReference(["links", i, end], `region ${region}`)
      )
  );
}

/** Two accounts with the same key could act for each other. */
function checkKeys(document: SteeringDocument): Failure[] {
  const accountByKey = new Map<string, string>();
  const issues: Failure[] = [];
  for (const [accountId, account] of Object.entries(document.accounts)) {
    for (const [i, key] of account.keys.entries()) {
      const owner = accountByKey.get(key.sha256);
      if (owner !== undefined) {
        issues.push(
          failure("bad_document", `has the same key as account ${owner}`, {
            path: ["accounts", accountId, "keys", i],
          }),
        );
      }
      accountByKey.set(key.sha256, accountId);
    }
  }
  return issues;
}

/** An availability zone and its region. */
export interface ZoneEntry {
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly instances: number;
}

/** Cached zones of each `regions` object; documents are immutable. */
const zonesByRegions = new WeakMap<
  SteeringDocument["regions"],
  readonly ZoneEntry[]
>();

/**
 * Every availability zone of a document, in document order. Cached,
 * because leases read it on every spend.
 */
export function zonesOf(document: SteeringDocument): readonly ZoneEntry[] {
  const cached = zonesByRegions.get(document.regions);
  if (cached !== undefined) return cached;
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
