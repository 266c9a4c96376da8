/**
 * Objects that take the keys they name and no others.
 *
 * @module
 */
import { z } from "zod";
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
