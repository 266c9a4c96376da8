/**
 * The administration API as an OpenAPI description.
 *
 * @module
 */
import { z } from "zod";
import type { AdminRoute } from "../../src/admin/mod.ts";
import { SECTION_KINDS, SECTION_SCHEMAS } from "../../src/document/mod.ts";

const ERROR_DESCRIPTIONS: Readonly<Record<string, string>> = {
  "400": "The request is malformed",
  "401": "No token, or one that stands for no role",
  "403": "The section belongs to another role",
  "404": "There is no such thing",
  "412": "Another editor was first; `change` says who",
  "413": "The body is too large",
  "422": "The section is wrong, or contradicts another",
  "428": "If-Match or If-None-Match is missing",
  "502": "The answer to a write was lost; read before trying again",
  "503": "The platform cannot be reached; nothing was changed",
};
const AUTHENTICATED_ERRORS = ["401", "404", "503"];
const WRITE_ERRORS = ["400", "403", "412", "413", "422", "428", "502"];

/** Builds the OpenAPI description from the route table. */
export function openApi(routes: readonly AdminRoute[]): unknown {
  const paths: Record<string, Record<string, unknown>> = {};
  for (const route of routes) {
    const path = pathOf(route);
    paths[path] = { ...paths[path], [route.method]: operationOf(route) };
  }
  return {
    openapi: "3.1.0",
    info: {
      title: "magnoliahook administration API",
      version: "1",
      description:
        "Served by every entry instance on its administration listener. Tokens are those of the document's access section.",
    },
    security: [{ token: [] }],
    paths,
    components: {
      securitySchemes: { token: { type: "http", scheme: "bearer" } },
      schemas: { Failure: FAILURE, ...sectionSchemas() },
    },
  };
}

/** Converts a route's path from `:name` to OpenAPI's `{name}` notation. */
export function pathOf(route: AdminRoute): string {
  return route.path.replaceAll(/:(\w+)/g, "{$1}");
}

const FAILURE = {
  type: "object",
  required: ["code", "message", "path"],
  properties: {
    code: { type: "string" },
    message: { type: "string" },
    path: { type: "array", items: { type: ["string", "integer"] } },
    change: {
      type: "object",
      properties: {
        author: { type: "string" },
        version: { type: "integer" },
        changedAt: { type: "number" },
      },
    },
    issues: {
      type: "array",
      items: { $ref: "#/components/schemas/Failure" },
    },
  },
};

function sectionSchemas(): Record<string, unknown> {
  return Object.fromEntries(SECTION_KINDS.map((kind) => {
    const { $schema: _, ...schema } = z.toJSONSchema(SECTION_SCHEMAS[kind], {
      io: "input",
    });
    return [kind, schema];
  }));
}

function operationOf(route: AdminRoute): Record<string, unknown> {
  const errorStatuses = [
    ...(route.access === "none" ? [] : AUTHENTICATED_ERRORS),
    ...(route.access === "owner" ? WRITE_ERRORS : []),
  ].sort();
  return {
    operationId: route.id,
    summary: route.summary,
    ...(route.access === "none" ? { security: [] } : {}),
    parameters: parametersOf(route),
    ...(route.section ? { requestBody: sectionBody() } : {}),
    responses: {
      "200": { description: "Done" },
      ...(route.unavailableDescription === undefined
        ? {}
        : { "503": { description: route.unavailableDescription } }),
      ...Object.fromEntries(
        errorStatuses.map((status) => [status, errorResponse(status)]),
      ),
    },
  };
}

function parametersOf(route: AdminRoute): unknown[] {
  const inPath = [...route.path.matchAll(/:(\w+)/g)].map(([, name]) => ({
    name,
    in: "path",
    required: true,
    schema: { type: "string" },
  }));
  const inQuery = Object.entries(route.query ?? {}).map((
    [name, description],
  ) => ({ name, in: "query", description, schema: { type: "string" } }));
  const conditional = route.access === "owner" &&
    route.path.includes("sections");
  const inHeader = conditional
    ? ["If-Match", "If-None-Match"].map((name) => ({
      name,
      in: "header",
      schema: { type: "string" },
    }))
    : [];
  return [...inPath, ...inQuery, ...inHeader];
}

function sectionBody(): unknown {
  const oneOf = SECTION_KINDS.map((kind) => ({
    $ref: `#/components/schemas/${kind}`,
  }));
  return {
    required: true,
    content: { "application/json": { schema: { oneOf } } },
  };
}

function errorResponse(status: string): unknown {
  return {
    description: ERROR_DESCRIPTIONS[status],
    content: {
      "application/json": { schema: { $ref: "#/components/schemas/Failure" } },
    },
  };
}
