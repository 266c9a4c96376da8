/**
 * Reports of borrowed loans to their lenders.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import { type HeldLoan, HeldLoanSchema } from "../../gen/budget_pb.ts";
import { LEASE_MS, RENEW_BELOW_MS } from "./lease.ts";
import type { BorrowedLoan } from "./loan_book.ts";

/** Whether a loan must be reported: recently reduced, or due for renewal. */
export function needsReport(loan: BorrowedLoan, now: number): boolean {
  if (now < loan.reducedAt + LEASE_MS) return true;
  return !loan.tokensOnly && loan.end - now < RENEW_BELOW_MS;
}

/** Converts a loan to its wire format. */
export function toHeldLoan(loan: BorrowedLoan, now: number): HeldLoan {
  return create(HeldLoanSchema, {
    id: loan.id,
    lenderIncarnation: loan.incarnation,
    amount: loan.amount,
    tokensBack: loan.tokensBack,
    renew: loan.amount > 0 && now < loan.end && !loan.tokensOnly,
  });
}
