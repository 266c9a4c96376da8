/**
 * Which client account a key stands for.
 *
 * Pattern it answers: a zone is cut off from the platform and cannot learn of
 * a withdrawn key. Each account says how long its keys are taken all the same;
 * after that a request is refused, which an operator sees as `cut_off`.
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
 * A zone counts as cut off after this long without contact, in milliseconds:
 * two watches of the store and the wait between them take less.
 */
export const CUT_OFF_MS = 15_000;
const CUT_OFF_RETRY_MS = 5_000;

/** Keys by digest; the keys themselves are never held. */
export class KeyRing {
  readonly #contactAgeMs: () => number;
  #owners = new Map<string, KeyOwner>();

  /** `contactAgeMs` tells how long there has been no contact with the platform. */
  constructor(contactAgeMs: () => number = () => 0) {
    this.#contactAgeMs = contactAgeMs;
  }

  /** Takes over the keys of a newly accepted document. */
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
   * The account for an `Authorization` header's value.
   *
   * Errors: `unauthenticated`, and `cut_off` for a good key of an account
   * whose grace has passed without contact.
   */
  accountOf(authorization: string | undefined): Result<AccountId, Failure> {
    const key = BEARER.exec(authorization ?? "")?.[1];
    const owner = key && this.#owners.get(sha256(key));
    if (!owner) {
      return fail("unauthenticated", "no valid key came with the request", {
        outcome: "not-run",
      });
    }
    if (this.#contactAgeMs() <= Math.max(CUT_OFF_MS, owner.graceMs)) {
      return ok(owner.account);
    }
    return fail(
      "cut_off",
      "this zone is cut off and cannot tell whether the key was withdrawn",
      { outcome: "not-run", retryAfterMs: CUT_OFF_RETRY_MS },
    );
  }
}
