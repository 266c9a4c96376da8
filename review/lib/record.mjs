// The record of a case: what was sent, answered and run.
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** Whether the case is played with its disruption. */
export const TROUBLE = process.env.TROUBLE !== "0";

export class Record {
  #startedAt = Date.now();
  #lines = [];

  /** Milliseconds since the case began. */
  now() {
    return Date.now() - this.#startedAt;
  }

  /** A moment of the clock, in milliseconds since the case began. */
  at(epochMs) {
    return epochMs - this.#startedAt;
  }

  /** Adds an event, at the present or at another moment. */
  add(text, atMs = Date.now()) {
    this.#lines.push([atMs, text]);
  }

  /** Adds lines without a time to the end. */
  note(text) {
    this.#lines.push([Infinity, text]);
    console.log(text);
  }

  write(file) {
    const lines = this.#lines.sort(([a], [b]) => a < b ? -1 : a > b ? 1 : 0)
      .map(([at, text]) =>
        at === Infinity
          ? text
          : `${(this.at(at) / 1_000).toFixed(3).padStart(8)} s  ${text}`
      );
    writeFileSync(file, `${lines.join("\n")}\n`);
  }
}

/**
 * Plays a case and exits with its result; what it opened is closed in any case.
 *
 * @param play Gets the record, a temporary folder and a list to which it adds
 * what has to be closed; returns whether the rule held.
 */
export async function playCase(file, play) {
  const record = new Record();
  const dir = mkdtempSync(join(tmpdir(), "review-"));
  const open = [];
  let result = NOT_RUN;
  const giveUp = (why) => {
    record.note(`not run: ${why}`);
    record.write(file);
    for (const { pid } of open) if (pid !== undefined) end(pid);
    process.exit(NOT_RUN);
  };
  const guard = setTimeout(() => giveUp("the case took too long"), 110_000);
  process.on("uncaughtException", (cause) => giveUp(cause.stack ?? cause));
  try {
    record.note(`disruption: ${TROUBLE ? "yes" : "no"}`);
    result = await play(record, dir, open) ? HELD : BROKEN;
  } catch (cause) {
    record.note(`not run: ${cause.stack ?? cause}`);
  }
  for (const one of open.reverse()) await one.close();
  clearTimeout(guard);
  record.write(file);
  rmSync(dir, { recursive: true, force: true });
  process.exit(result);
}

function end(pid) {
  try {
    process.kill(pid, "SIGKILL");
  } catch {
    // It has ended.
  }
}
