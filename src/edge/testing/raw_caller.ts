/**
 * A caller that writes bytes to a connection and keeps what it receives.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import { until } from "./held_requests.ts";

/** Longer than a loaded machine takes to end a connection, in milliseconds. */
const CLOSE_LIMIT_MS = 30_000;

/** One connection of a caller. */
export class RawCaller {
  readonly socket: Socket;
  /** Everything that was received. */
  text = "";
  /** The error with which the connection ended; undefined if there was none. */
  error: string | undefined;

  private constructor(socket: Socket) {
    this.socket = socket;
    socket.on("data", (chunk: Uint8Array) => {
      this.text += new TextDecoder("latin1").decode(chunk);
    });
    socket.on("error", (cause: Error & { code?: string }) => {
      this.error = cause.code ?? cause.message;
    });
  }

  static async open(port: number): Promise<RawCaller> {
    const socket = connect(port, "127.0.0.1");
    const caller = new RawCaller(socket);
    await new Promise((resolve, reject) => {
      socket.once("connect", resolve);
      socket.once("error", reject);
    });
    return caller;
  }

  /** Sends GET requests for these paths at once. */
  get(...paths: string[]): void {
    this.socket.write(paths.map((path) => getRequest(path)).join(""));
  }

  /** Resolves once the connection has ended; rejects if it stays open. */
  get closed(): Promise<void> {
    return until(() => this.socket.closed, CLOSE_LIMIT_MS);
  }

  send(text: string): void {
    this.socket.write(text);
  }

  /** The status of each response. */
  get statuses(): number[] {
    return [...this.text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) =>
      Number(status)
    );
  }

  /** Indexes of the responses that close the connection. */
  get closing(): number[] {
    const heads = this.text.split(/(?=HTTP\/1\.1 )/).filter((h) => h !== "");
    return heads.flatMap((head, i) =>
      /^connection: close/im.test(head) ? [i] : []
    );
  }

  close(): void {
    this.socket.destroy();
  }
}

export function getRequest(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;
}

/** A POST request's header, and the beginning of its body. */
export function postRequest(
  path: string,
  opts: { readonly length: number; readonly body?: string },
): string {
  const { length, body = "" } = opts;
  return `POST ${path} HTTP/1.1\r\nHost: h\r\nContent-Length: ${length}\r\n\r\n${body}`;
}
