/**
 * Calls an HTTP handler in this process, without a socket.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import {
  IncomingMessage,
  type RequestListener,
  ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";

/** A request to a handler. */
export interface InjectedRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** A handler's complete response; the status is undefined if none was sent. */
export interface InjectedResponse {
  readonly status: number | undefined;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** A socket that discards writes and never delivers data. */
class NullSocket extends Duplex {
  override _read(): void {}

  override _write(_chunk: unknown, _enc: string, done: () => void): void {
    done();
  }

  setTimeout(): this {
    return this;
  }
}

/** Passes the request to the handler and collects its response. */
export function inject(
  handler: RequestListener,
  request: InjectedRequest,
): Promise<InjectedResponse> {
  const socket = new NullSocket() as unknown as Socket;
  const req = new IncomingMessage(socket);
  req.method = request.method;
  req.url = request.url;
  req.headers = { ...request.headers };
  if (request.body.length > 0) {
    req.headers["content-length"] = String(request.body.length);
    req.push(request.body);
  }
  req.push(null);
  const res = new ServerResponse(req);
  const chunks: Buffer[] = [];
  captureBody(res, chunks);
  res.assignSocket(socket);
  return new Promise((resolve) => {
    const end = (status: number | undefined) =>
      resolve({
        status,
        headers: headersOf(res),
        body: Buffer.concat(chunks),
      });
    res.on("finish", () => end(res.statusCode));
    res.on(
      "close",
      () => end(res.writableFinished ? res.statusCode : undefined),
    );
    handler(req, res);
  });
}

/** Captures body chunks before the response applies its transfer encoding. */
function captureBody(res: ServerResponse, chunks: Buffer[]): void {
  const write = res.write.bind(res) as (...args: unknown[]) => boolean;
  const end = res.end.bind(res) as (...args: unknown[]) => ServerResponse;
  const keep = (chunk: unknown) => {
    if (typeof chunk === "string") chunks.push(Buffer.from(chunk));
    else if (chunk instanceof Uint8Array) chunks.push(Buffer.from(chunk));
  };
  let ending = false;
  res.write = ((...args: unknown[]) => {
    if (!ending) keep(args[0]);
    return write(...args);
  }) as typeof res.write;
  res.end = ((...args: unknown[]) => {
    if (!ending && typeof args[0] !== "function") keep(args[0]);
    ending = true;
    return end(...args);
  }) as typeof res.end;
}

function headersOf(res: ServerResponse): Record<string, string> {
  const entries = Object.entries(res.getHeaders());
  return Object.fromEntries(entries.map(([k, v]) => [k, String(v)]));
}
