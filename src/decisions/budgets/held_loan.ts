/**
 * A borrowed loan as its lender is told of it.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import { type HeldLoan, HeldLoanSchema } from "../../gen/budget_pb.ts";
import { LEASE_MS, RENEW_BELOW_MS } from "./lease.ts";
import type { BorrowedLoan } from "./loan_book.ts";

/** Whether the lender has to hear of the loan: it fell, or it is to go on. */
export function isDue(loan: BorrowedLoan, now: number): boolean {
  if (now < loan.loweredAt + LEASE_MS) return true;
  return !loan.tokensOnly && loan.end - now < RENEW_BELOW_MS;
}

/** The loan in a message. */
export function toHeld(loan: BorrowedLoan, now: number): HeldLoan {
  return create(HeldLoanSchema, {
    id: loan.id,
    lenderIncarnation: loan.incarnation,
    amount: loan.amount,
    tokensBack: loan.tokensBack,
    renew: loan.amount > 0 && now < loan.end && !loan.tokensOnly,
  });
}
