/**
 * Which client account a key stands for.
 *
 * @module
 */
import type { Result } from "neverthrow";
import { ok } from "neverthrow";
import { type AccountId, fail, type Failure } from "../core/mod.ts";
import { sha256, type SteeringDocument } from "../document/mod.ts";

const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/;

/** Keys by digest; the keys themselves are never held. */
export class KeyRing {
  #accounts = new Map<string, AccountId>();

  /** Takes over the keys of a newly accepted document. */
  adopt(document: SteeringDocument): void {
    const accounts = new Map<string, AccountId>();
    for (const [id, account] of Object.entries(document.accounts)) {
      for (const key of account.keys) {
        if (!key.withdrawn) accounts.set(key.sha256, id as AccountId);
      }
    }
    this.#accounts = accounts;
  }

  /** The account for an `Authorization` header's value. */
  accountOf(authorization: string | undefined): Result<AccountId, Failure> {
    const key = BEARER.exec(authorization ?? "")?.[1];
    const account = key && this.#accounts.get(sha256(key));
    if (account) return ok(account);
    return fail("unauthenticated", "no valid key came with the request", {
      outcome: "not-run",
    });
  }
}
