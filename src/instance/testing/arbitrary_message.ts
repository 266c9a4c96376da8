/**
 * Arbitrary messages of any schema, for tests against malicious peers.
 *
 * @module
 */
import {
  create,
  type DescField,
  type DescMessage,
  type Message,
  ScalarType,
} from "@bufbuild/protobuf";
import fc from "fast-check";

const MAX_DEPTH = 4;
const NAMES = ["", "i1", "gulf-a", "gulf", "mapview", "a1", "constructor"];

/** Messages whose fields hold any value of their type. */
export function arbitraryMessage(
  schema: DescMessage,
  depth = 0,
): fc.Arbitrary<Message> {
  const fields = schema.fields.map((
    field,
  ) => [
    field.localName,
    fc.option(arbitraryField(field, depth), { nil: undefined }),
  ]);
  return fc.record(Object.fromEntries(fields)).map((init) => {
    const given = Object.entries(init).filter(([, v]) => v !== undefined);
    return create(schema, Object.fromEntries(given));
  });
}

function arbitraryField(
  field: DescField,
  depth: number,
): fc.Arbitrary<unknown> {
  switch (field.fieldKind) {
    case "scalar":
      return arbitraryScalar(field.scalar);
    case "enum":
      return fc.integer({ min: 0, max: 5 });
    case "message":
      return depth < MAX_DEPTH
        ? arbitraryMessage(field.message, depth + 1)
        : fc.constant(undefined);
    case "list":
      return fc.array(
        field.listKind === "message"
          ? arbitraryMessage(field.message, depth + 1)
          : arbitraryScalar(
            field.listKind === "scalar" ? field.scalar : undefined,
          ),
        { maxLength: 5 },
      );
    case "map":
      return fc.dictionary(
        fc.string({ maxLength: 20 }),
        field.mapKind === "message"
          ? arbitraryMessage(field.message, depth + 1)
          : arbitraryScalar(
            field.mapKind === "scalar" ? field.scalar : undefined,
          ),
        { maxKeys: 5 },
      );
  }
}

function arbitraryScalar(type: ScalarType | undefined): fc.Arbitrary<unknown> {
  switch (type) {
    case ScalarType.STRING:
      return fc.oneof(fc.string({ maxLength: 100 }), fc.constantFrom(...NAMES));
    case ScalarType.BOOL:
      return fc.boolean();
    case ScalarType.BYTES:
      return fc.uint8Array({ maxLength: 100 });
    case ScalarType.DOUBLE:
    case ScalarType.FLOAT:
      return fc.oneof(fc.double(), fc.constantFrom(NaN, Infinity, -1, 1e300));
    case ScalarType.INT32:
    case ScalarType.SINT32:
    case ScalarType.SFIXED32:
      return fc.integer();
    case ScalarType.INT64:
    case ScalarType.SINT64:
    case ScalarType.SFIXED64:
      return fc.bigInt({ min: -(2n ** 63n), max: 2n ** 63n - 1n });
    case ScalarType.UINT64:
    case ScalarType.FIXED64:
      return fc.bigInt({ min: 0n, max: 2n ** 64n - 1n });
    default:
      return fc.integer({ min: 0, max: 4_294_967_295 });
  }
}
