/**
 * Maps API keys to client accounts.
 *
 * A zone that has lost contact with the platform does not learn of withdrawn
 * keys. Each account configures how long its keys are accepted then; after
 * that its requests are rejected with `cut_off`.
 *
 * @module
 */
import type { Result } from "neverthrow";
import { ok } from "neverthrow";
import { type AccountId, fail, type Failure } from "../core/mod.ts";
import { sha256, type SteeringDocument } from "../document/mod.ts";

interface KeyOwner {
  readonly account: AccountId;
  readonly graceMs: number;
}

const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/;
const MS_PER_S = 1_000;
/**
 * Time without contact after which a zone counts as cut off; longer than two
 * watches of the store and the wait between them.
 */
export const CUT_OFF_AFTER_MS = 15_000;
const CUT_OFF_RETRY_AFTER_MS = 5_000;

/** Accounts by SHA-256 of their keys; the keys themselves are not stored. */
export class ApiKeyTable {
  readonly #contactAgeMs: () => number;
  #owners = new Map<string, KeyOwner>();

  /** `contactAgeMs` returns the time since the platform was last reached. */
  constructor(contactAgeMs: () => number = () => 0) {
    this.#contactAgeMs = contactAgeMs;
  }

  /** Replaces the keys by those of a newly accepted document. */
  adopt(document: SteeringDocument): void {
    const owners = new Map<string, KeyOwner>();
    for (const [id, account] of Object.entries(document.accounts)) {
      const graceMs = account.cut_off_grace_s * MS_PER_S;
      const owner = { account: id as AccountId, graceMs };
      for (const key of account.keys) {
        if (!key.withdrawn) owners.set(key.sha256, owner);
      }
    }
    this.#owners = owners;
  }

  /**
   * Returns the account for an `Authorization` header's value.
   *
   * Errors: `unauthenticated`, and `cut_off` for a valid key of an account
   * whose grace period has passed without contact.
   */
  accountOf(authorization: string | undefined): Result<AccountId, Failure> {
    const key = BEARER.exec(authorization ?? "")?.[1];
    const owner = key && this.#owners.get(sha256(key));
    if (!owner) {
      return fail("unauthenticated", "the request has no valid key", {
        outcome: "not-run",
      });
    }
    if (this.#contactAgeMs() <= Math.max(CUT_OFF_AFTER_MS, owner.graceMs)) {
      return ok(owner.account);
    }
    return fail(
      "cut_off",
      "this zone has lost contact with the platform and cannot check the key",
      { outcome: "not-run", retryAfterMs: CUT_OFF_RETRY_AFTER_MS },
    );
  }
}
