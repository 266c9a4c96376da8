import test from "ava";
import { LoopbackBlock } from "./loopback_block.ts";

// Guards against two runs at once that exchange messages.
test("the addresses of a seed are given to one run at a time", async (t) => {
  const first = (await LoopbackBlock.take(9_120))._unsafeUnwrap();
  const same = await LoopbackBlock.take(9_120 + 128);
  t.regex(same._unsafeUnwrapErr(), /seed 9248: another run uses them/);
  await first.close();
  const next = (await LoopbackBlock.take(9_120))._unsafeUnwrap();
  t.regex(next.host(1), /^127\.\d+\.0\.2$/);
  await next.close();
});
