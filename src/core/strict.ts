/**
 * Objects that take the keys they name and no others, and checks that never
 * throw.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { fail, type Failure, type FailureCode, fromZod } from "./failure.ts";
import { unknownName } from "./nearest.ts";

/**
 * An object schema whose refusal of an unknown key names the nearest one and
 * those allowed.
 *
 * @example
 * ```ts
 * const Address = strict({ host: z.string(), port: z.number() });
 * ```
 */
export function strict<Shape extends z.ZodRawShape>(
  shape: Shape,
): z.ZodObject<Shape, z.core.$strict> {
  const known = Object.keys(shape);
  return z.strictObject(shape, {
    error: (issue) => {
      if (issue.code !== "unrecognized_keys") return undefined;
      const keys = issue["keys"] as string[];
      return keys.map((key) => unknownName("key", key, known)).join("; ");
    },
  });
}

/**
 * Checks a value by a schema; what was found stands in the failure.
 *
 * A schema may throw on a hostile value: zod compares a `length` that need not
 * be a number, so `{"length":{"toString":false}}` in a section would end each
 * instance that reads it.
 *
 * @example
 * ```ts
 * const cfg = checkValue("bad_settings", Settings, parse(text));
 * ```
 */
export function checkValue<T>(
  code: FailureCode,
  schema: z.ZodType<T>,
  value: unknown,
): Result<T, Failure> {
  try {
    const parsed = schema.safeParse(value, { reportInput: true });
    return parsed.success ? ok(parsed.data) : err(fromZod(code, parsed.error));
  } catch {
    return fail(code, "the value cannot be checked");
  }
}
