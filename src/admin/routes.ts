/**
 * The route table of the administration API, from which the application and
 * its OpenAPI description are built.
 *
 * @module
 */
import type { Request, Response } from "express";
import { err, ok, type Result } from "neverthrow";
import { fail, type Failure, fromZod } from "../core/mod.ts";
import {
  type AcceptedDocument,
  addDrain,
  DEFAULT_DRAINS_SECTION,
  type DocumentStore,
  DrainEntry,
  editSection,
  removeDrain,
  SectionName,
  type SteeringDocument,
} from "../document/mod.ts";
import type { ListedInstance, Platform } from "../store/mod.ts";
import { authorizeEdit, type Role } from "./access.ts";
import { etagOf } from "./responses.ts";
import type { InstanceStatus } from "./status.ts";

/** Dependencies of the route handlers. */
export interface RouteDeps {
  readonly ready: () => boolean;
  readonly status: () => InstanceStatus;
  /** The document in force. */
  readonly document: () => SteeringDocument;
  readonly store: DocumentStore;
  readonly platform: Platform;
}

/** A request and response, with the role that the request's token grants. */
export interface RouteContext {
  readonly req: Request;
  readonly res: Response;
  readonly role: Role;
}

/** A route's response: body, status and entity tag. */
export interface Reply {
  readonly status?: number;
  readonly etag?: string;
  readonly body: unknown;
}

export interface AdminRoute {
  readonly method: "get" | "put" | "delete";
  /** In Express notation. */
  readonly path: string;
  readonly id: string;
  readonly summary: string;
  /** `none`: no token; `any`: any role; `owner`: a role that may edit. */
  readonly access: "none" | "any" | "owner";
  readonly query?: Readonly<Record<string, string>>;
  /** What status 503 means, for a route that requires no token. */
  readonly unavailableDescription?: string;
  /** Whether the request body is a section's content. */
  readonly section?: boolean;
  readonly handle: (
    deps: RouteDeps,
    ctx: RouteContext,
  ) => Promise<Result<Reply, Failure>>;
}

export const ADMIN_ROUTES: readonly AdminRoute[] = [
  {
    method: "get",
    path: "/livez",
    id: "liveness",
    summary: "Whether the process answers at all",
    access: "none",
    handle: () => Promise.resolve(ok({ body: { live: true } })),
  },
  {
    method: "get",
    path: "/readyz",
    id: "readiness",
    summary: "Whether a document is in force here and the instance stays",
    unavailableDescription:
      "No document is in force yet, or the instance is leaving",
    access: "none",
    handle: (deps) => {
      const ready = deps.ready();
      return Promise.resolve(
        ok({ status: ready ? 200 : 503, body: { ready } }),
      );
    },
  },
  {
    method: "get",
    path: "/v1/status",
    id: "getStatus",
    summary: "What this instance says of itself",
    access: "any",
    handle: (deps) => Promise.resolve(ok({ body: deps.status() })),
  },
  {
    method: "get",
    path: "/v1/instances",
    id: "listInstances",
    summary: "The platform's list of entry instances; it lags",
    access: "any",
    handle: async (deps) => {
      const listed = await deps.platform.instances();
      return listed.map((instances: readonly ListedInstance[]) => ({
        body: { instances },
      }));
    },
  },
  {
    method: "get",
    path: "/v1/sections",
    id: "listSections",
    summary: "The accepted generation, and each section's version and author",
    access: "any",
    handle: async (deps) => {
      const manifest = await deps.store.manifest();
      return manifest.map(({ value: { generation, sections } }) => ({
        etag: etagOf(generation),
        body: { generation, sections },
      }));
    },
  },
  ...sectionRoutes("/v1/sections/:kind", "Section"),
  ...sectionRoutes("/v1/sections/:kind/:part", "SectionPart"),
  {
    method: "get",
    path: "/v1/drains",
    id: "listDrains",
    summary: "The drains in force at this instance",
    access: "any",
    handle: (deps) =>
      Promise.resolve(ok({ body: { drains: deps.document().drains } })),
  },
  {
    method: "put",
    path: "/v1/drains/:kind/:id",
    id: "addDrain",
    summary: "Give an endpoint, zone, region or instance no new work",
    access: "owner",
    query: {
      section: "The section the drain stands in; `drains` if not given",
    },
    handle: (deps, ctx) => changeDrain(deps, ctx, addDrain),
  },
  {
    method: "delete",
    path: "/v1/drains/:kind/:id",
    id: "removeDrain",
    summary: "End a drain",
    access: "owner",
    query: {
      section: "The section the drain stands in; `drains` if not given",
    },
    handle: (deps, ctx) => changeDrain(deps, ctx, removeDrain),
  },
];

function sectionRoutes(path: string, idSuffix: string): AdminRoute[] {
  return [
    {
      method: "get",
      path,
      id: `get${idSuffix}`,
      summary: "A section's content; its version is the entity tag",
      access: "any",
      handle: getSection,
    },
    {
      method: "put",
      path,
      id: `put${idSuffix}`,
      summary:
        "Replace a section on the version that If-Match names, or make it by If-None-Match: *",
      access: "owner",
      section: true,
      handle: putSection,
    },
    {
      method: "delete",
      path,
      id: `delete${idSuffix}`,
      summary: "Remove a section on the version that If-Match names",
      access: "owner",
      handle: (deps, ctx) => writeSection(deps, ctx, undefined),
    },
  ];
}

async function getSection(
  { store }: RouteDeps,
  { req }: RouteContext,
): Promise<Result<Reply, Failure>> {
  const name = sectionNameOf(req);
  if (name.isErr()) return err(name.error);
  const manifest = await store.manifest();
  if (manifest.isErr()) return err(manifest.error);
  const entry = manifest.value.value.sections[name.value];
  if (entry === undefined) return fail("not_found", `no section ${name.value}`);
  const content = await store.content(entry.sha256);
  return content.map((body) => ({ etag: etagOf(entry.version), body }));
}

/** Refuses an unparsed body: `undefined` would remove the section. */
function putSection(
  deps: RouteDeps,
  ctx: RouteContext,
): Promise<Result<Reply, Failure>> {
  const value = ctx.req.body as unknown;
  if (value !== undefined) return writeSection(deps, ctx, value);
  const message = "send the section as application/json";
  return Promise.resolve(fail("bad_request", message));
}

async function writeSection(
  deps: RouteDeps,
  { req, role }: RouteContext,
  value: unknown,
): Promise<Result<Reply, Failure>> {
  const name = sectionNameOf(req);
  if (name.isErr()) return err(name.error);
  const allowed = authorizeEdit(deps.document(), role, name.value);
  if (allowed.isErr()) return err(allowed.error);
  const version = expectedVersion(req);
  if (version.isErr()) return err(version.error);
  const applied = await deps.store.apply({
    author: role.name,
    sections: new Map([[name.value, value]]),
    expect: new Map([[name.value, version.value]]),
  });
  return applied.map((accepted) => editReply(accepted, name.value));
}

async function changeDrain(
  deps: RouteDeps,
  { req, role }: RouteContext,
  edit: typeof addDrain,
): Promise<Result<Reply, Failure>> {
  const { kind, id } = req.params;
  const drain = DrainEntry.safeParse({ kind, id }, { reportInput: true });
  if (!drain.success) return err(fromZod("bad_request", drain.error));
  const name = SectionName.safeParse(
    req.query["section"] ?? DEFAULT_DRAINS_SECTION,
  );
  if (!name.success) return err(fromZod("bad_request", name.error));
  const allowed = authorizeEdit(deps.document(), role, name.data);
  if (allowed.isErr()) return err(allowed.error);
  const edited = await editSection(
    deps.store,
    role.name,
    (current) => edit(current, drain.data, name.data),
  );
  return edited.map((accepted) => editReply(accepted, name.data));
}

function editReply(accepted: AcceptedDocument, name: SectionName): Reply {
  const { generation, sections } = accepted.manifest;
  const version = sections[name]?.version;
  return {
    body: { generation, version },
    ...(version === undefined ? {} : { etag: etagOf(version) }),
  };
}

function sectionNameOf(req: Request): Result<SectionName, Failure> {
  const { kind, part } = req.params;
  const name = part === undefined ? kind : `${kind}/${part}`;
  const parsed = SectionName.safeParse(name, { reportInput: true });
  if (parsed.success) return ok(parsed.data);
  return err(fromZod("bad_request", parsed.error));
}

/**
 * The section version that an edit is based on. An edit without one could
 * silently overwrite a concurrent change, so it is refused.
 */
function expectedVersion(req: Request): Result<number, Failure> {
  if (req.headers["if-none-match"] === "*") return ok(0);
  const tag = /^"(\d{1,15})"$/.exec(req.headers["if-match"] ?? "")?.[1];
  if (tag !== undefined) return ok(Number(tag));
  return fail(
    "precondition_required",
    'send If-Match: "VERSION" with the version that was read, or If-None-Match: * for a new section',
  );
}
