import test from "ava";
import { InvariantError } from "./invariant.ts";
import { RateShare } from "./rate_share.ts";

const WHOLE = { ratePerS: 100, burst: 100 };
const LEASE_MS = 1_000;

/** A share that owns everything, and is then granted a part on top. */
function overGranted(onUnaccounted?: (what: string) => void): RateShare {
  const share = new RateShare(WHOLE, 0, onUnaccounted);
  share.refresh({ amount: 1, until: 10_000 }, 0);
  const grant = {
    id: 1,
    lender: "i2",
    incarnation: "i2-first",
    amount: 0.25,
    tokensOnly: false,
    end: LEASE_MS,
  };
  share.accept(grant, { tokens: 25, now: 0 });
  return share;
}

test("a share that was granted more than the whole gives nothing out, and says so", (t) => {
  // Another instance grants a part of an account's rate that this instance has
  // already. Were that an uncaught error, the process would end and callers of
  // every account with it; were it taken, the account would pass its rate.
  const told: string[] = [];
  const share = overGranted((what) => told.push(what));
  t.is(told.length, 1);
  t.false(share.take(0));
  t.is(share.rateLease(0.1, 0), 0);
  t.is(share.tokenLease(0.1, 0), 0);
});

test("a suspended share gives out again once its parts fit", (t) => {
  // The grant ends with its lease. The account must not stay refused.
  const told: string[] = [];
  const share = overGranted((what) => told.push(what));
  share.refresh({ amount: 1, until: 10_000 }, LEASE_MS + 1);
  share.refresh({ amount: 1, until: 10_000 }, LEASE_MS + 1_000);
  t.true(share.take(LEASE_MS + 1_000));
  t.is(told.length, 1);
});

test("a model or test that passes the whole fails at once", (t) => {
  // Nobody reads a log there, and a fault that is passed over is not found.
  t.throws(() => overGranted(), { instanceOf: InvariantError });
});
