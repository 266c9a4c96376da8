/**
 * The conditional write of the manifest that accepts an edit, and how its
 * outcome is resolved when the response is lost.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { type Clock, type Failure, failure, sleep } from "../core/mod.ts";
import type { Platform, Versioned } from "../store/mod.ts";
import { canonicalJson, type Manifest, MANIFEST_KEY } from "./manifest.ts";

export interface ManifestWriterDeps {
  readonly platform: Platform;
  readonly clock: Clock;
  /** Reads the current manifest. */
  readonly read: () => Promise<Result<Versioned<Manifest>, Failure>>;
}

const MAX_ATTEMPTS = 4;
const RETRY_DELAY_MS = 100;

const OUTCOME_UNKNOWN = failure(
  "platform_outcome_unknown",
  "the response to the write was lost and a later write has replaced the manifest; read the section before retrying",
);

export class ManifestWriter {
  readonly #deps: ManifestWriterDeps;

  constructor(deps: ManifestWriterDeps) {
    this.#deps = deps;
  }

  /**
   * Writes the manifest; false means that a concurrent edit won.
   *
   * After a lost response the same conditional write is sent again: it takes
   * effect at most once. A conflict means that the manifest has changed, by this
   * write or another, which reading back the write id distinguishes.
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
    for (let i = 0; i < MAX_ATTEMPTS; i++) {
      if (i > 0) await sleep(this.#deps.clock, RETRY_DELAY_MS);
      const put = await this.#deps.platform.put(MANIFEST_KEY, text, condition);
      if (put.isOk()) return ok(true);
      const { code } = put.error;
      if (code === "conflict") return await this.#resolve(next, lost);
      if (code !== "platform_outcome_unknown") return err(lost ?? put.error);
      lost = put.error;
      const read = await this.#deps.read();
      if (read.isOk() && read.value.value.write_id === next.write_id) {
        return ok(true);
      }
    }
    return err(lost ?? OUTCOME_UNKNOWN);
  }

  /** Determines after a conflict whether an earlier attempt took effect. */
  async #resolve(
    written: Manifest,
    lost: Failure | undefined,
  ): Promise<Result<boolean, Failure>> {
    if (lost === undefined) return ok(false);
    for (let i = 0; i < MAX_ATTEMPTS; i++) {
      if (i > 0) await sleep(this.#deps.clock, RETRY_DELAY_MS);
      const read = await this.#deps.read();
      if (read.isErr() || read.value.value.generation < written.generation) {
        continue;
      }
      if (read.value.value.write_id === written.write_id) return ok(true);
      if (read.value.value.generation === written.generation) return ok(false);
      return err(OUTCOME_UNKNOWN);
    }
    return err(lost);
  }
}
