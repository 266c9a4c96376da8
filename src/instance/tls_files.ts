/**
 * Loads a TLS certificate and key from files and reloads them on change.
 *
 * Certificates are rotated every few weeks. If they were read only at start-up,
 * the old one would expire while the instance serves, and new connections would
 * fail at the same time on all instances started together.
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

/** Paths of a certificate and its key in PEM format. */
export interface TlsFiles {
  readonly certFile: string;
  readonly keyFile: string;
  /** How often the files are read, in milliseconds. */
  readonly reloadIntervalMs: number;
}

/** A certificate and its private key in PEM format. */
export interface TlsCredentials {
  readonly cert: string;
  readonly key: string;
}

/** Reads a certificate and key; fails with `bad_settings` if they do not match. */
export async function readTlsCredentials(
  files: TlsFiles,
): Promise<Result<TlsCredentials, Failure>> {
  try {
    const [cert, key] = await Promise.all([
      readFile(files.certFile, "utf8"),
      readFile(files.keyFile, "utf8"),
    ]);
    // A file is empty while it is being rewritten. TLS accepts an empty
    // certificate, and every handshake would then fail.
    const matches = new X509Certificate(cert).checkPrivateKey(
      createPrivateKey(key),
    );
    if (!matches) return unusable(files, "key and certificate do not match");
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

/** Dependencies of {@link TlsReloader}. */
export interface TlsReloaderDeps {
  readonly files: TlsFiles;
  readonly clock: Clock;
  readonly log: Log;
  /** Called when the certificate has changed. */
  readonly onChange: (credentials: TlsCredentials) => void;
}

/**
 * Reads the files periodically. A certificate and key that do not match (one
 * file is replaced, the other not yet) leave the old ones in use.
 */
export class TlsReloader {
  readonly #deps: TlsReloaderDeps;
  #current: TlsCredentials;
  #timer: Timer | undefined;
  #closed = false;

  constructor(deps: TlsReloaderDeps, current: TlsCredentials) {
    this.#deps = deps;
    this.#current = current;
    this.#scheduleReload();
  }

  close(): void {
    this.#closed = true;
    this.#timer?.close();
  }

  #scheduleReload(): void {
    if (this.#closed) return;
    const { clock, files } = this.#deps;
    this.#timer = clock.after(
      files.reloadIntervalMs,
      () => void this.#reload(),
    );
  }

  async #reload(): Promise<void> {
    const { files, log, onChange } = this.#deps;
    const read = await readTlsCredentials(files);
    if (this.#closed) return;
    if (read.isErr()) log.event("tls_reload_failed", { file: files.certFile });
    else if (read.value.cert !== this.#current.cert) {
      this.#current = read.value;
      onChange(read.value);
      log.event("tls_reloaded", { file: files.certFile });
    }
    this.#scheduleReload();
  }
}
