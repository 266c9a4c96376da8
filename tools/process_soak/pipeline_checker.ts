/**
 * Checks the responses of a connection on which a caller pipelines requests.
 *
 * @module
 */

/** A response's request id, and whether it closes the connection. */
export interface PipelinedResponse {
  readonly request: string;
  readonly closes: boolean;
}

/** Remembers the requests that their callers may resend. */
export class PipelineChecker {
  readonly #onViolation: (property: string, request: string) => void;
  readonly #started = new Set<string>();
  readonly #unread = new Set<string>();

  constructor(onViolation: (property: string, request: string) => void) {
    this.#onViolation = onViolation;
  }

  /** Records that a request has reached an endpoint. */
  started(request: string): void {
    this.#started.add(request);
    this.#checkUnread(request);
  }

  /** Checks the responses to requests that were sent at once. */
  ended(
    sent: readonly string[],
    responses: readonly PipelinedResponse[],
  ): void {
    for (const [i, { request }] of responses.entries()) {
      if (request === sent[i]) continue;
      this.#onViolation("responses are in the order of requests", request);
    }
    const closing = responses.findIndex(({ closes }) => closes);
    if (closing < 0) return;
    for (const request of sent.slice(closing + 1)) {
      this.#unread.add(request);
      this.#checkUnread(request);
    }
  }

  #checkUnread(request: string): void {
    if (!this.#unread.has(request) || !this.#started.has(request)) return;
    this.#onViolation(
      "what is behind a response that closes does not run",
      request,
    );
  }
}
