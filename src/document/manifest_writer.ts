/**
 * The one conditional write by which an edit is accepted, and what becomes of
 * it when its answer is lost.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { type Clock, type Failure, failure, sleep } from "../core/mod.ts";
import type { Platform, Versioned } from "../store/mod.ts";
import { canonicalJson, type Manifest, MANIFEST_KEY } from "./manifest.ts";

/** What a writer needs. */
export interface ManifestWriterDeps {
  readonly platform: Platform;
  readonly clock: Clock;
  /** Reads the manifest as it stands. */
  readonly read: () => Promise<Result<Versioned<Manifest>, Failure>>;
}

const MAX_SETTLE_TRIES = 4;
const SETTLE_PAUSE_MS = 100;

const UNSETTLED = failure(
  "platform_outcome_unknown",
  "the write's answer was lost and a later change stands; read the section before trying again",
);

/** Writes manifests. */
export class ManifestWriter {
  readonly #deps: ManifestWriterDeps;

  constructor(deps: ManifestWriterDeps) {
    this.#deps = deps;
  }

  /**
   * Writes the manifest; false means another editor was first.
   *
   * After a lost answer the same conditional write is sent again: it can take
   * effect once at most, and its refusal shows that the manifest has changed,
   * by us or by another, which reading back then tells apart.
   */
  async write(
    next: Manifest,
    version: string | undefined,
  ): Promise<Result<boolean, Failure>> {
    const condition = version === undefined
      ? { ifAbsent: true } as const
      : { ifVersion: version };
    const text = canonicalJson(next);
    let lost: Failure | undefined;
    for (let i = 0; i < MAX_SETTLE_TRIES; i++) {
      if (i > 0) await sleep(this.#deps.clock, SETTLE_PAUSE_MS);
      const put = await this.#deps.platform.put(MANIFEST_KEY, text, condition);
      if (put.isOk()) return ok(true);
      const { code } = put.error;
      if (code === "conflict") return await this.#settle(next, lost);
      if (code !== "platform_outcome_unknown") return err(lost ?? put.error);
      lost = put.error;
      const now = await this.#deps.read();
      if (now.isOk() && now.value.value.write_id === next.write_id) {
        return ok(true);
      }
    }
    return err(lost ?? UNSETTLED);
  }

  /** The write was refused: was an earlier try of it in force before? */
  async #settle(
    written: Manifest,
    lost: Failure | undefined,
  ): Promise<Result<boolean, Failure>> {
    if (lost === undefined) return ok(false);
    for (let i = 0; i < MAX_SETTLE_TRIES; i++) {
      if (i > 0) await sleep(this.#deps.clock, SETTLE_PAUSE_MS);
      const now = await this.#deps.read();
      if (now.isErr() || now.value.value.generation < written.generation) {
        continue;
      }
      if (now.value.value.write_id === written.write_id) return ok(true);
      if (now.value.value.generation === written.generation) return ok(false);
      return err(UNSETTLED);
    }
    return err(lost);
  }
}
