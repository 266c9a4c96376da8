import test from "ava";
import { InvariantError } from "./invariant.ts";
import { RateShare } from "./rate_share.ts";

const TOTAL = { ratePerS: 100, burst: 100 };
const LEASE_MS = 1_000;

/** A share that owns the total, and is then granted a loan in addition. */
function overallocatedShare(
  onOverallocated?: (what: string) => void,
): RateShare {
  const share = new RateShare(TOTAL, 0, onOverallocated);
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

test("a share granted more than the total grants no tokens and reports it", (t) => {
  // Another instance lends rate that this instance already has. An uncaught
  // error would end the process and fail the callers of every account; using
  // the loan would put the account above its rate.
  const reports: string[] = [];
  const share = overallocatedShare((what) => reports.push(what));
  t.is(reports.length, 1);
  t.false(share.take(0));
  t.is(share.maxRateLeaseMs(0.1, 0), 0);
  t.is(share.maxTokenLeaseMs(0.1, 0), 0);
});

test("a suspended share grants tokens again once it fits the total", (t) => {
  // The loan expires with its lease. The account must not stay refused.
  const reports: string[] = [];
  const share = overallocatedShare((what) => reports.push(what));
  share.refresh({ amount: 1, until: 10_000 }, LEASE_MS + 1);
  share.refresh({ amount: 1, until: 10_000 }, LEASE_MS + 1_000);
  t.true(share.take(LEASE_MS + 1_000));
  t.is(reports.length, 1);
});

test("exceeding the total throws at once in a model or test", (t) => {
  // Logs are not read there, so a fault that is only logged would be missed.
  t.throws(() => overallocatedShare(), { instanceOf: InvariantError });
});
