/**
 * A caller's connection that may pipeline requests and read slowly.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";

/** A response as received. */
export interface WireResponse {
  readonly status: number;
  readonly headers: Headers;
  readonly body: string;
}

/** Pause of a slow reader after each chunk. */
const READ_PAUSE_MS = 60;

/** One kept connection. */
export class BulkConnection {
  /** Whether the caller reads slowly. */
  readsSlowly = false;
  isClosed = false;
  readonly #socket: Socket;
  #received = Buffer.alloc(0);
  #responses: WireResponse[] = [];
  #onChange = () => {};

  constructor(address: string) {
    const [host = "", port] = address.split(":");
    this.#socket = connect(Number(port), host);
    this.#socket.on("data", (chunk: Buffer) => this.#read(chunk));
    this.#socket.on("error", () => {});
    this.#socket.once("close", () => {
      this.isClosed = true;
      this.#onChange();
    });
  }

  /**
   * Sends requests at once. Resolves with their responses, with fewer after one
   * that closes the connection, a failure or `timeoutMs`.
   */
  exchange(
    requests: readonly Uint8Array[],
    timeoutMs: number,
  ): Promise<WireResponse[]> {
    this.#responses = [];
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        resolve(this.#responses);
      };
      const timer = setTimeout(end, timeoutMs);
      this.#onChange = () => {
        const last = this.#responses.at(-1);
        const isDone = this.#responses.length >= requests.length;
        if (this.isClosed || isDone || (last && closes(last))) end();
      };
      this.#socket.write(Buffer.concat(requests));
      this.#onChange();
    });
  }

  close(): void {
    this.#socket.destroy();
  }

  #read(chunk: Buffer): void {
    this.#received = Buffer.concat([this.#received, chunk]);
    while (this.#takeResponse());
    this.#onChange();
    if (!this.readsSlowly) return;
    this.#socket.pause();
    setTimeout(() => this.#socket.resume(), READ_PAUSE_MS);
  }

  #takeResponse(): boolean {
    const headEnd = this.#received.indexOf("\r\n\r\n");
    if (headEnd < 0) return false;
    const [first = "", ...lines] = this.#received.toString("latin1", 0, headEnd)
      .split("\r\n");
    const headers = new Headers(lines.map((line): [string, string] => {
      const colon = line.indexOf(":");
      return [line.slice(0, colon), line.slice(colon + 1).trim()];
    }));
    const bodyAt = headEnd + 4;
    const end = bodyAt + Number(headers.get("content-length"));
    if (this.#received.length < end) return false;
    const body = this.#received.toString("latin1", bodyAt, end);
    this.#received = this.#received.subarray(end);
    this.#responses.push({
      status: Number(first.split(" ")[1]),
      headers,
      body,
    });
    return true;
  }
}

/** Whether a response is the last one of its connection. */
export function closes({ headers }: WireResponse): boolean {
  return headers.get("connection")?.toLowerCase() === "close";
}
