import test from "ava";
import { PipelineChecker, type PipelinedResponse } from "./pipeline_checker.ts";

const OPEN = (request: string) => ({ request, closes: false });
const CLOSING = (request: string) => ({ request, closes: true });

function findings(
  started: { readonly before?: string; readonly after?: string },
  responses: readonly PipelinedResponse[],
): string[] {
  const found: string[] = [];
  const checker = new PipelineChecker((_, request) => found.push(request));
  if (started.before) checker.started(started.before);
  checker.ended(["q1", "q2", "q3"], responses);
  if (started.after) checker.started(started.after);
  return found;
}

// Guards against a check that overlooks swapped responses.
test("responses in another order are found", (t) => {
  const swapped = [OPEN("q2"), OPEN("q1"), OPEN("q3")];
  t.deepEqual(findings({}, swapped), ["q2", "q1"]);
  t.deepEqual(findings({}, [OPEN("q1"), OPEN("q2"), OPEN("q3")]), []);
});

// Guards against a check that overlooks a request that runs although its caller
// resends it, whether it runs before or after the response that closes.
test("requests behind a response that closes must not run", (t) => {
  const responses = [OPEN("q1"), CLOSING("q2")];
  t.deepEqual(findings({ before: "q3" }, responses), ["q3"]);
  t.deepEqual(findings({ after: "q3" }, responses), ["q3"]);
  t.deepEqual(findings({ before: "q2" }, responses), []);
});
