/**
 * Reads the bodies of callers' requests.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { CancelSignal } from "../core/mod.ts";
import { headerOf } from "./header_fields.ts";

/** How the length of a body is given. */
export type BodyLength =
  | { readonly kind: "none" }
  | { readonly kind: "declared"; readonly bytes: number }
  /** In chunks; the length shows at the end. */
  | { readonly kind: "open" };

/** Why there is no complete body. */
export type BodyFailure =
  /** The caller has left, or the request was dropped. */
  | "gone"
  | "too_large";

/** How the length of a request's body is given in its header. */
export function bodyLengthOf(
  { rawHeaders }: Pick<IncomingMessage, "rawHeaders">,
): BodyLength {
  if (headerOf(rawHeaders, "transfer-encoding") !== undefined) {
    return { kind: "open" };
  }
  const declared = headerOf(rawHeaders, "content-length");
  if (declared === undefined) return { kind: "none" };
  return { kind: "declared", bytes: Number(declared) };
}

/**
 * Reads a body to its end; what is too large is not kept. The result is a
 * promise only where a body is to arrive, so that a request without one is
 * forwarded before the parser reads on.
 */
export function readBody(
  req: IncomingMessage,
  opts: { readonly maxBytes: number; readonly signal: CancelSignal },
): Promise<Buffer | BodyFailure> | BodyFailure | undefined {
  const length = bodyLengthOf(req);
  if (length.kind === "none") return undefined;
  if (length.kind === "declared" && length.bytes > opts.maxBytes) {
    return "too_large";
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const fail = (failure: BodyFailure) => {
      req.off("data", keep);
      chunks.length = 0;
      resolve(failure);
    };
    const keep = (chunk: Buffer) => {
      size += chunk.length;
      if (size > opts.maxBytes) fail("too_large");
      else chunks.push(chunk);
    };
    req.on("data", keep);
    req.once("end", () => resolve(Buffer.concat(chunks)));
    req.once("close", () => fail("gone"));
    opts.signal.addEventListener("abort", () => fail("gone"));
  });
}
