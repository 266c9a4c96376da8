/**
 * Object schemas that reject unknown keys, and validation that never throws.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { fail, type Failure, type FailureCode, fromZod } from "./failure.ts";
import { unknownNameMessage } from "./nearest_name.ts";

/**
 * An object schema that rejects unknown keys, with an error that suggests the
 * nearest known key and lists the allowed ones.
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
      return keys.map((key) => unknownNameMessage("key", key, known)).join(
        "; ",
      );
    },
  });
}

/**
 * Validates a value against a schema; the failure describes the faulty input.
 *
 * A schema may throw on a hostile value: zod compares a `length` that need not
 * be a number, so `{"length":{"toString":false}}` in a section would crash each
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
    return fail(code, "the schema check threw an error on this value");
  }
}
