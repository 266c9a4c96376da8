/**
 * Who may do what through the administration API.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import { fail, type Failure, sha256 } from "../core/mod.ts";
import {
  kindOf,
  type SectionName,
  type SteeringDocument,
} from "../document/mod.ts";

/** A role that a request's token stands for. */
export interface Role {
  readonly name: string;
  /** Section names or kinds; `*` means all. */
  readonly edits: readonly string[];
}

/** What roles are looked up in. */
export interface AccessDeps {
  readonly document: () => SteeringDocument;
  /** Digest of a token that edits all while the document has no role. */
  readonly bootstrapSha256?: string | undefined;
}

const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/;
const EVERYTHING = "*";

/**
 * The role for an `Authorization` header's value; `unauthenticated` if none.
 *
 * Digests are compared as map keys: how long that takes tells nothing of the
 * token, of which only the digest is looked at.
 */
export function roleOf(
  deps: AccessDeps,
  authorization: string | undefined,
): Result<Role, Failure> {
  const token = BEARER.exec(authorization ?? "")?.[1];
  if (token === undefined) {
    return fail("unauthenticated", "no bearer token came with the request");
  }
  const digest = sha256(token);
  const roles = Object.entries(deps.document().roles);
  if (roles.length === 0 && digest === deps.bootstrapSha256) {
    return ok({ name: "bootstrap", edits: [EVERYTHING] });
  }
  const found = roles.find(([, role]) => role.token_sha256 === digest);
  if (found === undefined) {
    return fail("unauthenticated", "the token stands for no role");
  }
  return ok({ name: found[0], edits: found[1].edits });
}

/**
 * Whether a role may edit a section: it names the section, or its kind and no
 * other role names the section, or it may edit everything.
 *
 * @example
 * ```ts
 * const allowed = mayEdit(document, role, name);
 * if (allowed.isErr()) return refuse(res, allowed.error);
 * ```
 */
export function mayEdit(
  document: SteeringDocument,
  role: Role,
  name: SectionName,
): Result<void, Failure> {
  const own = role.edits.includes(name) || role.edits.includes(EVERYTHING);
  if (own) return ok(undefined);
  const owner = Object.entries(document.roles)
    .find(([, other]) => other.edits.includes(name));
  if (owner === undefined && role.edits.includes(kindOf(name))) {
    return ok(undefined);
  }
  const whose = owner === undefined ? "" : `; it belongs to ${owner[0]}`;
  return fail("forbidden", `role ${role.name} may not edit ${name}${whose}`, {
    path: [name],
  });
}
