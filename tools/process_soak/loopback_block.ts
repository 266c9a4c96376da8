/**
 * The block of loopback addresses that a run gives to its instances.
 *
 * @module
 */
import { createServer, type Server } from "node:net";
import { err, ok, type Result } from "neverthrow";
import { listenAt } from "../../src/edge/mod.ts";

const FIRST_BLOCK = 64;
const BLOCKS = 128;
const HOSTS_PER_NET = 200;
/** Port, on the block's last address, that marks the block as in use. */
const LOCK_PORT = 18_380;

/** A block of addresses, held against other runs until it is closed. */
export class LoopbackBlock {
  readonly #net: string;
  readonly #lock: Server;

  private constructor(net: string, lock: Server) {
    this.#net = net;
    this.#lock = lock;
  }

  /**
   * Takes the block of a seed. Runs with the same block would exchange messages
   * and report violations that are none, so the second one gets an error.
   *
   * @example
   * ```ts
   * const block = (await LoopbackBlock.take(seed))._unsafeUnwrap();
   * ```
   */
  static async take(seed: number): Promise<Result<LoopbackBlock, string>> {
    const net = `127.${FIRST_BLOCK + seed % BLOCKS}`;
    const lock = createServer();
    try {
      await listenAt(lock, `${net}.255.254:${LOCK_PORT}`);
      return ok(new LoopbackBlock(net, lock));
    } catch (cause) {
      const { code, message } = cause as NodeJS.ErrnoException;
      const why = code === "EADDRINUSE" ? "another run uses them" : message;
      return err(`the addresses ${net}.* of seed ${seed}: ${why}`);
    }
  }

  /** Address of the n-th instance, counted from 1. */
  host(n: number): string {
    return `${this.#net}.${Math.floor(n / HOSTS_PER_NET)}.${
      n % HOSTS_PER_NET + 1
    }`;
  }

  close(): Promise<void> {
    return new Promise((resolve) => this.#lock.close(() => resolve()));
  }
}
