/**
 * A deadline for the part of a response that is streamed.
 *
 * @module
 */
import type { Clock } from "../core/mod.ts";
import type { BodyRemainder, BodySink } from "./endpoint_sender.ts";

/** What the sink gets as the reason. */
const DEADLINE_PASSED = "deadline";

/**
 * A remainder that fails once its deadline has passed, also while the endpoint
 * sends nothing or the caller does not read: both would otherwise keep a
 * connection and a slot of the endpoint without limit.
 *
 * @param opts `onExpired` is called if the deadline ends it.
 *
 * @example
 * ```ts
 * withDeadline(remainder, { leftMs: 900, clock, onExpired: () => {} });
 * ```
 */
export function withDeadline(
  remainder: BodyRemainder,
  opts: {
    readonly leftMs: number;
    readonly clock: Clock;
    readonly onExpired: () => void;
  },
): BodyRemainder {
  let sink: BodySink | undefined;
  let isExpired = false;
  const timer = opts.clock.after(Math.max(0, opts.leftMs), () => {
    isExpired = true;
    remainder.cancel();
    sink?.fail(DEADLINE_PASSED);
    opts.onExpired();
  });
  return {
    pipe: (to) => {
      sink = to;
      if (isExpired) return to.fail(DEADLINE_PASSED);
      remainder.pipe({
        data: (chunk) => isExpired || to.data(chunk),
        end: () => {
          timer.close();
          if (!isExpired) to.end();
        },
        fail: (reason) => {
          timer.close();
          if (!isExpired) to.fail(reason);
        },
      });
    },
    resume: () => remainder.resume(),
    cancel: () => {
      timer.close();
      remainder.cancel();
    },
  };
}
