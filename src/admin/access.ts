/**
 * Authentication and authorization for the administration API.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import { fail, type Failure, sha256 } from "../core/mod.ts";
import {
  sectionKindOf,
  type SectionName,
  type SteeringDocument,
} from "../document/mod.ts";

/** The role of an authenticated request. */
export interface Role {
  readonly name: string;
  /** Section names or kinds; `*` means all. */
  readonly edits: readonly string[];
}

/** Where roles are looked up. */
export interface AccessDeps {
  readonly document: () => SteeringDocument;
  /** Digest of a token that may edit everything while the document has no role. */
  readonly bootstrapSha256?: string | undefined;
}

const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/;
const ALL_SECTIONS = "*";

/**
 * Returns the role for an `Authorization` header's value; `unauthenticated` if
 * there is none.
 *
 * Only digests are compared, so that the time it takes reveals nothing about
 * the token.
 */
export function authenticate(
  deps: AccessDeps,
  authorization: string | undefined,
): Result<Role, Failure> {
  const token = BEARER.exec(authorization ?? "")?.[1];
  if (token === undefined) {
    return fail("unauthenticated", "the request has no bearer token");
  }
  const digest = sha256(token);
  const roles = Object.entries(deps.document().roles);
  if (roles.length === 0 && digest === deps.bootstrapSha256) {
    return ok({ name: "bootstrap", edits: [ALL_SECTIONS] });
  }
  const found = roles.find(([, role]) => role.token_sha256 === digest);
  if (found === undefined) {
    return fail("unauthenticated", "the token belongs to no role");
  }
  return ok({ name: found[0], edits: found[1].edits });
}

/**
 * Checks that a role may edit a section: it names the section, or names the
 * section's kind and no other role names the section, or may edit everything.
 *
 * @example
 * ```ts
 * const allowed = authorizeEdit(document, role, name);
 * if (allowed.isErr()) return refuse(res, allowed.error);
 * ```
 */
export function authorizeEdit(
  document: SteeringDocument,
  role: Role,
  name: SectionName,
): Result<void, Failure> {
  const granted = role.edits.includes(name) ||
    role.edits.includes(ALL_SECTIONS);
  if (granted) return ok(undefined);
  const owner = Object.entries(document.roles)
    .find(([, other]) => other.edits.includes(name));
  if (owner === undefined && role.edits.includes(sectionKindOf(name))) {
    return ok(undefined);
  }
  const note = owner === undefined ? "" : `; it belongs to ${owner[0]}`;
  return fail("forbidden", `role ${role.name} may not edit ${name}${note}`, {
    path: [name],
  });
}
