import test from "ava";
import { Buffer } from "node:buffer";
import fc from "fast-check";
import { BodyBlocks } from "./body_blocks.ts";

/** Adds chunks of these sizes; their content is a counter. */
function fill(body: BodyBlocks, sizes: readonly number[]): Buffer {
  const all = Buffer.alloc(sizes.reduce((sum, size) => sum + size, 0));
  for (let i = 0; i < all.length; i++) all[i] = i % 251;
  let at = 0;
  for (const size of sizes) body.add(all.subarray(at, at += size));
  return all;
}

const SIZES = fc.array(
  fc.oneof(fc.nat(10), fc.nat(5_000), fc.nat(70_000)),
  { maxLength: 30 },
);

// Guards against an endpoint that gets other bytes than the caller sent.
test("the blocks are the body, whatever its chunks", (t) => {
  fc.assert(
    fc.property(SIZES, fc.boolean(), (sizes, isDeclared) => {
      const length = sizes.reduce((sum, size) => sum + size, 0);
      let reserved = 0;
      const body = new BodyBlocks({
        reserve: (bytes) => {
          reserved += bytes;
          return true;
        },
        reservedBytes: isDeclared ? length : 0,
      });
      const sent = fill(body, sizes);
      const blocks = body.end();
      if (isDeclared && reserved > 0) return false;
      if (!isDeclared && reserved < length) return false;
      return body.size === length && Buffer.concat(blocks).equals(sent);
    }),
    { seed: 5 },
  );
  t.pass();
});

// Guards against memory that is allocated without having been reserved.
test("a chunk is rejected if its block cannot be reserved", (t) => {
  let left = 20_000;
  const body = new BodyBlocks({
    reserve: (bytes) => (left -= bytes) >= 0,
    reservedBytes: 0,
  });
  t.true(body.add(Buffer.alloc(4_000)));
  t.is(left, 20_000 - 4_096);
  t.true(body.add(Buffer.alloc(4_000)));
  t.is(left, 20_000 - 4_096 - 8_000);
  t.false(body.add(Buffer.alloc(20_000)));
});
