/**
 * A certificate and its key in files, read again when they are replaced.
 *
 * Certificates are replaced every few weeks. Read at the start only, the old
 * one would run out while the instance serves, and every new connection would
 * fail at once in all instances that were started together.
 *
 * @module
 */
import { createPrivateKey, X509Certificate } from "node:crypto";
import { readFile } from "node:fs/promises";
import { createSecureContext } from "node:tls";
import { ok, type Result } from "neverthrow";
import {
  type Clock,
  fail,
  type Failure,
  type Log,
  type Timer,
} from "../core/mod.ts";

/** Where certificate and key stand, in PEM. */
export interface TlsFiles {
  readonly certFile: string;
  readonly keyFile: string;
  /** How often the files are looked at, in milliseconds. */
  readonly reloadMs: number;
}

/** A certificate and its key. */
export interface TlsPair {
  readonly cert: string;
  readonly key: string;
}

/** Reads a pair and checks that the two belong together; `bad_settings` if not. */
export async function readTlsPair(
  files: TlsFiles,
): Promise<Result<TlsPair, Failure>> {
  try {
    const [cert, key] = await Promise.all([
      readFile(files.certFile, "utf8"),
      readFile(files.keyFile, "utf8"),
    ]);
    // An empty certificate, as a file is while it is written anew, would pass
    // for one, and every handshake would fail.
    const fits = new X509Certificate(cert).checkPrivateKey(
      createPrivateKey(key),
    );
    if (!fits) return unusable(files, "the key is of another certificate");
    createSecureContext({ cert, key });
    return ok({ cert, key });
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return unusable(files, reason);
  }
}

function unusable(files: TlsFiles, reason: string): Result<never, Failure> {
  const { certFile, keyFile } = files;
  return fail(
    "bad_settings",
    `certificate ${certFile} and key ${keyFile} cannot be used: ${reason}`,
  );
}

/** What a reloader needs. */
export interface TlsReloaderDeps {
  readonly files: TlsFiles;
  readonly clock: Clock;
  readonly log: Log;
  /** Takes a pair that differs from the one before. */
  readonly onPair: (pair: TlsPair) => void;
}

/**
 * Looks at the files again and again. A pair that does not fit together (one
 * file is replaced and the other not yet) leaves the old one in use.
 */
export class TlsReloader {
  readonly #deps: TlsReloaderDeps;
  #current: TlsPair;
  #timer: Timer | undefined;
  #closed = false;

  constructor(deps: TlsReloaderDeps, current: TlsPair) {
    this.#deps = deps;
    this.#current = current;
    this.#wait();
  }

  close(): void {
    this.#closed = true;
    this.#timer?.close();
  }

  #wait(): void {
    if (this.#closed) return;
    const { clock, files } = this.#deps;
    this.#timer = clock.after(files.reloadMs, () => void this.#look());
  }

  async #look(): Promise<void> {
    const { files, log, onPair } = this.#deps;
    const pair = await readTlsPair(files);
    if (this.#closed) return;
    if (pair.isErr()) log.event("tls_reload_failed", { file: files.certFile });
    else if (pair.value.cert !== this.#current.cert) {
      this.#current = pair.value;
      onPair(pair.value);
      log.event("tls_reloaded", { file: files.certFile });
    }
    this.#wait();
  }
}
