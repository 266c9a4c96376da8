/**
 * Zod schemas as Markdown tables.
 *
 * @module
 */
import { z } from "zod";

/** The subset of JSON Schema that the tables use. */
interface JsonSchema {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly const?: unknown;
  readonly enum?: readonly unknown[];
  readonly pattern?: string;
  readonly format?: string;
  readonly minimum?: number;
  readonly maximum?: number;
  readonly exclusiveMinimum?: number;
  readonly exclusiveMaximum?: number;
  readonly minLength?: number;
  readonly maxLength?: number;
  readonly minItems?: number;
  readonly maxItems?: number;
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly required?: readonly string[];
  readonly additionalProperties?: JsonSchema | boolean;
  readonly items?: JsonSchema;
  readonly oneOf?: readonly JsonSchema[];
  readonly anyOf?: readonly JsonSchema[];
}

interface Row {
  readonly path: string;
  readonly type: string;
  readonly allowed: string;
  readonly fallback: string;
  readonly help: string;
}

/** Formats a schema's fields as a Markdown table, one row per field. */
export function schemaTable(schema: z.ZodType): string {
  const json = z.toJSONSchema(schema, { io: "input" }) as JsonSchema;
  const rows = fieldsOf(json, "");
  const lines = rows.map((r) =>
    `| \`${r.path}\` | ${r.type} | ${r.allowed} | ${r.fallback} | ${r.help} |`
  );
  return [
    "| Field | Type | Allowed | If not given | Meaning |",
    "| --- | --- | --- | --- | --- |",
    ...lines,
  ].join("\n");
}

function fieldsOf(schema: JsonSchema, path: string): Row[] {
  const propertyRows = Object.entries(schema.properties ?? {}).flatMap((
    [name, field],
  ) => {
    const at = path === "" ? name : `${path}.${name}`;
    const required = schema.required?.includes(name) ?? false;
    return [rowOf(field, at, required), ...fieldsOf(field, at)];
  });
  const { additionalProperties: more } = schema;
  const entryRows = typeof more === "object"
    ? fieldsOf(more, `${path}.NAME`)
    : [];
  const itemRows = schema.items ? fieldsOf(schema.items, `${path}[]`) : [];
  const variantRows = [...schema.oneOf ?? [], ...schema.anyOf ?? []]
    .flatMap((option) => fieldsOf(option, path));
  return mergeByPath([
    ...propertyRows,
    ...entryRows,
    ...itemRows,
    ...variantRows,
  ]);
}

function mergeByPath(rows: readonly Row[]): Row[] {
  const byPath = new Map<string, Row>();
  for (const row of rows) {
    const previous = byPath.get(row.path);
    const allowed = previous && previous.allowed !== row.allowed
      ? `${previous.allowed} or ${row.allowed}`
      : row.allowed;
    byPath.set(row.path, { ...row, allowed });
  }
  return [...byPath.values()];
}

function rowOf(schema: JsonSchema, path: string, required: boolean): Row {
  return {
    path,
    type: typeOf(schema),
    allowed: allowedOf(schema),
    fallback: schema.default === undefined
      ? required ? "required" : "absent"
      : `\`${JSON.stringify(schema.default)}\``,
    help: (schema.description ?? "").replaceAll("|", "\\|"),
  };
}

function typeOf(schema: JsonSchema): string {
  if (schema.type === "array") return `list of ${typeOf(schema.items ?? {})}`;
  const more = schema.additionalProperties;
  if (schema.type === "object" && typeof more === "object") {
    return `table of ${typeOf(more)}`;
  }
  if (schema.oneOf !== undefined || schema.anyOf !== undefined) return "object";
  return schema.type ?? "any";
}

function allowedOf(schema: JsonSchema): string {
  if (schema.const !== undefined) return `\`${JSON.stringify(schema.const)}\``;
  if (schema.enum) return schema.enum.map((e) => `\`${e}\``).join(", ");
  const parts = [
    formatLimit(">=", explicitMinimum(schema.minimum)),
    formatLimit(">", schema.exclusiveMinimum),
    formatLimit("<=", explicitMaximum(schema.maximum)),
    formatLimit("<", schema.exclusiveMaximum),
    formatLimit("at least", schema.minLength, "characters"),
    formatLimit("at most", schema.maxLength, "characters"),
    formatLimit("at least", schema.minItems, "entries"),
    formatLimit("at most", schema.maxItems, "entries"),
    schema.format === undefined ? "" : schema.format,
    schema.pattern === undefined
      ? ""
      : `\`${schema.pattern.replaceAll("|", "\\|")}\``,
  ];
  return parts.filter((p) => p !== "").join(", ");
}

/** Zod writes an unlimited integer as the range of safe integers. */
function explicitMinimum(value: number | undefined): number | undefined {
  return value === Number.MIN_SAFE_INTEGER ? undefined : value;
}

function explicitMaximum(value: number | undefined): number | undefined {
  return value === Number.MAX_SAFE_INTEGER ? undefined : value;
}

function formatLimit(
  label: string,
  value: number | undefined,
  unit = "",
): string {
  return value === undefined ? "" : `${label} ${value} ${unit}`.trim();
}
