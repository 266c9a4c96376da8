/**
 * Serializes plain values as YAML. Strings are quoted as in JSON, which YAML
 * reads the same way.
 *
 * @module
 */

const PLAIN_KEY = /^[A-Za-z_$][A-Za-z0-9_$-]*$/;

/** Serializes a value as a YAML document. */
export function toYaml(value: unknown): string {
  return lines(value).join("\n") + "\n";
}

function lines(value: unknown): string[] {
  if (Array.isArray(value) && value.length > 0) {
    return value.flatMap((item) => prefixed("- ", lines(item)));
  }
  if (isObject(value)) {
    return Object.entries(value).filter(([, v]) => v !== undefined)
      .flatMap(([key, v]) => entry(key, v));
  }
  return [JSON.stringify(value)];
}

function entry(key: string, value: unknown): string[] {
  const name = PLAIN_KEY.test(key) ? key : JSON.stringify(key);
  const inner = lines(value);
  const nested = isObject(value) || (Array.isArray(value) && value.length > 0);
  if (!nested) return [`${name}: ${inner[0]}`];
  return [`${name}:`, ...inner.map((line) => `  ${line}`)];
}

function prefixed(first: string, rest: readonly string[]): string[] {
  const indent = " ".repeat(first.length);
  return rest.map((line, i) => (i === 0 ? first : indent) + line);
}

function isObject(value: unknown): value is Record<string, unknown> {
  return value !== null && typeof value === "object" &&
    !Array.isArray(value) && Object.keys(value).length > 0;
}
