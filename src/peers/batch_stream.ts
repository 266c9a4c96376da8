/**
 * Batches to one peer over one kept stream.
 *
 * A call of its own for each batch costs seven times the processor time, most
 * of it in headers and abort signals; one would see instances without any
 * request busy with each other.
 *
 * @module
 */
import type { Client } from "@connectrpc/connect";
import {
  createWritableIterable,
  type WritableIterable,
} from "@connectrpc/connect/protocol";
import { ok, type Result } from "neverthrow";
import { type Clock, fail, type Failure } from "../core/mod.ts";
import type { Batch, PeerService } from "../gen/peer_pb.ts";

interface Conversation {
  readonly batches: WritableIterable<Batch>;
  readonly answers: AsyncIterator<Batch>;
  readonly end: AbortController;
}

/** What a stream needs. */
export interface BatchStreamDeps {
  readonly client: Client<typeof PeerService>;
  readonly clock: Clock;
  readonly timeoutMs: number;
}

/**
 * A stream to one peer, opened when it is first needed and again after any
 * failure. Answers come in the order of batches; one batch waits at a time.
 */
export class BatchStream {
  readonly #deps: BatchStreamDeps;
  #open: Conversation | undefined;

  constructor(deps: BatchStreamDeps) {
    this.#deps = deps;
  }

  /** Sends a batch and gives its answer; fails with `peer_unavailable`. */
  async exchange(batch: Batch): Promise<Result<Batch, Failure>> {
    const conversation = this.#open ??= this.#begin();
    const { clock, timeoutMs } = this.#deps;
    // A stream whose answer is overdue is given up: the answer might come yet
    // and would then be taken for the one to the next batch.
    const timer = clock.after(timeoutMs, () => this.close());
    try {
      void conversation.batches.write(batch).catch(() => this.close());
      const answer = await conversation.answers.next();
      if (!answer.done) return ok(answer.value);
      this.close();
      return fail("peer_unavailable", "the peer ended the stream");
    } catch (cause) {
      this.close();
      return fail("peer_unavailable", String(cause));
    } finally {
      timer.close();
    }
  }

  /** Ends the stream; the next batch opens another. */
  close(): void {
    this.#open?.end.abort();
    this.#open = undefined;
  }

  #begin(): Conversation {
    const end = new AbortController();
    const batches = createWritableIterable<Batch>();
    const answers = this.#deps.client
      .converse(batches, { signal: end.signal })[Symbol.asyncIterator]();
    return { batches, answers, end };
  }
}
