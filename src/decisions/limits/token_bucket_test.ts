import test from "ava";
import { TokenBucket } from "./token_bucket.ts";

test("a new bucket is empty and refills at its rate", (t) => {
  const bucket = new TokenBucket({ ratePerS: 10, burst: 5 }, 0);
  t.false(bucket.take(0));
  t.is(bucket.waitMs(0), 100);
  t.true(bucket.take(100));
});

test("an idle bucket never holds more than the burst", (t) => {
  const bucket = new TokenBucket({ ratePerS: 10, burst: 5 }, 0);
  t.is(bucket.tokens(60_000), 5);
});

test("a smaller burst drops surplus tokens at once", (t) => {
  const bucket = new TokenBucket({ ratePerS: 10, burst: 5 }, 0, 5);
  bucket.resize({ ratePerS: 1, burst: 1 }, 0);
  t.is(bucket.tokens(0), 1);
});

test("a clock that goes backwards adds no tokens", (t) => {
  const bucket = new TokenBucket({ ratePerS: 10, burst: 5 }, 1_000);
  bucket.tokens(500);
  t.is(bucket.tokens(1_000), 0);
});
