/**
 * Adding and removing drains in a `drains` section.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import { fail, type Failure, unknownName } from "../core/mod.ts";
import { type SteeringDocument, zonesOf } from "./document.ts";
import type { AcceptedDocument } from "./document_store.ts";
import type { SectionChange } from "./section_edit.ts";
import type { DrainEntry, DrainsSection, SectionName } from "./sections.ts";

/** The section that drains go to unless another is named. */
export const DRAINS: SectionName = "drains" as SectionName;

/**
 * Adds a drain; `not_found` if the document names no such endpoint, zone or
 * region, since a drain of a mistyped name would drain nothing.
 */
export function addDrain(
  now: AcceptedDocument,
  drain: DrainEntry,
  name: SectionName = DRAINS,
): Result<SectionChange, Failure> {
  const known = knownIds(now.document, drain.kind);
  if (known !== undefined && !known.includes(drain.id)) {
    return fail("not_found", unknownName(drain.kind, drain.id, known));
  }
  const drains = drainsOf(now, name).filter((d) => !same(d, drain));
  return ok({ name, value: { drains: [...drains, drain] } });
}

/** Removes a drain; `not_found` if the section has none such. */
export function removeDrain(
  now: AcceptedDocument,
  drain: DrainEntry,
  name: SectionName = DRAINS,
): Result<SectionChange, Failure> {
  const drains = drainsOf(now, name);
  const rest = drains.filter((d) => !same(d, drain));
  if (rest.length === drains.length) {
    return fail(
      "not_found",
      `${name} has no drain of ${drain.kind} ${drain.id}`,
    );
  }
  return ok({ name, value: { drains: rest } });
}

function drainsOf(now: AcceptedDocument, name: SectionName): DrainEntry[] {
  const section = now.raw[name] as Partial<DrainsSection> | undefined;
  return section?.drains ?? [];
}

function same(a: DrainEntry, b: DrainEntry): boolean {
  return a.kind === b.kind && a.id === b.id;
}

/** Ids that a drain may name; instances are not in the document. */
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
