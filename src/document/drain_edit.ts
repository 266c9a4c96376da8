/**
 * Adding and removing drains in a `drains` section.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import { fail, type Failure, unknownNameMessage } from "../core/mod.ts";
import { type SteeringDocument, zonesOf } from "./document.ts";
import type { AcceptedDocument } from "./document_store.ts";
import type { SectionChange } from "./section_edit.ts";
import type { DrainEntry, DrainsSection, SectionName } from "./sections.ts";

/** The section used unless another is given. */
export const DEFAULT_DRAINS_SECTION: SectionName = "drains" as SectionName;

/**
 * Adds a drain; `not_found` if the document has no such endpoint, zone or
 * region, because a drain of a mistyped id would have no effect.
 */
export function addDrain(
  current: AcceptedDocument,
  drain: DrainEntry,
  name: SectionName = DEFAULT_DRAINS_SECTION,
): Result<SectionChange, Failure> {
  const known = knownIds(current.document, drain.kind);
  if (known !== undefined && !known.includes(drain.id)) {
    return fail("not_found", unknownNameMessage(drain.kind, drain.id, known));
  }
  const drains = drainsOf(current, name).filter((d) => !isSameDrain(d, drain));
  return ok({ name, value: { drains: [...drains, drain] } });
}

/** Removes a drain; `not_found` if the section does not have it. */
export function removeDrain(
  current: AcceptedDocument,
  drain: DrainEntry,
  name: SectionName = DEFAULT_DRAINS_SECTION,
): Result<SectionChange, Failure> {
  const drains = drainsOf(current, name);
  const remaining = drains.filter((d) => !isSameDrain(d, drain));
  if (remaining.length === drains.length) {
    return fail(
      "not_found",
      `${name} has no drain of ${drain.kind} ${drain.id}`,
    );
  }
  return ok({ name, value: { drains: remaining } });
}

function drainsOf(current: AcceptedDocument, name: SectionName): DrainEntry[] {
  const section = current.raw[name] as Partial<DrainsSection> | undefined;
  return section?.drains ?? [];
}

function isSameDrain(a: DrainEntry, b: DrainEntry): boolean {
  return a.kind === b.kind && a.id === b.id;
}

/** Ids that can be drained; undefined for instances, which no section lists. */
function knownIds(
  document: SteeringDocument,
  kind: DrainEntry["kind"],
): string[] | undefined {
  switch (kind) {
    case "endpoint":
      return Object.values(document.services)
        .flatMap((s) => Object.keys(s.endpoints));
    case "zone":
      return zonesOf(document).map((z) => z.zone);
    case "region":
      return Object.keys(document.regions);
    case "instance":
      return undefined;
  }
}
