/**
 * Issuing and withdrawing keys of client accounts.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { fail, type Failure, unknownNameMessage } from "../core/mod.ts";
import type { AcceptedDocument } from "./document_store.ts";
import type { SectionChange } from "./section_edit.ts";
import { sectionKindOf, type SectionName } from "./sections.ts";

/** An `accounts` section as stored, before defaults are applied. */
interface RawAccounts {
  readonly accounts: Readonly<Record<string, { keys?: readonly RawKey[] }>>;
}

interface RawKey {
  readonly id: string;
  readonly sha256: string;
  readonly withdrawn?: boolean;
}

/** Adds a key's digest to an account. */
export function issueKey(
  current: AcceptedDocument,
  account: string,
  key: { readonly id: string; readonly sha256: string },
): Result<SectionChange, Failure> {
  return updateKeys(current, account, (keys) => {
    if (!keys.some((k) => k.id === key.id)) return ok([...keys, key]);
    return fail("conflict", `account ${account} already has a key ${key.id}`);
  });
}

/** Marks a key as withdrawn; it stays listed, so that its id is not reused. */
export function withdrawKey(
  current: AcceptedDocument,
  account: string,
  id: string,
): Result<SectionChange, Failure> {
  return updateKeys(current, account, (keys) => {
    const ids = keys.map((k) => k.id);
    if (!ids.includes(id)) {
      return fail("not_found", unknownNameMessage("key", id, ids));
    }
    return ok(keys.map((k) => k.id === id ? { ...k, withdrawn: true } : k));
  });
}

function updateKeys(
  current: AcceptedDocument,
  account: string,
  update: (keys: readonly RawKey[]) => Result<RawKey[], Failure>,
): Result<SectionChange, Failure> {
  for (const [name, raw] of Object.entries(current.raw)) {
    if (sectionKindOf(name as SectionName) !== "accounts") continue;
    const section = raw as RawAccounts;
    if (!Object.hasOwn(section.accounts, account)) continue;
    const entry = section.accounts[account];
    const keys = update(entry?.keys ?? []);
    if (keys.isErr()) return err(keys.error);
    const accounts = {
      ...section.accounts,
      [account]: { ...entry, keys: keys.value },
    };
    return ok({ name: name as SectionName, value: { ...section, accounts } });
  }
  const known = Object.keys(current.document.accounts);
  return fail("not_found", unknownNameMessage("account", account, known));
}
