import test from "ava";
import { parseRetryAfter } from "./retry_after.ts";

const DATE = "Sun, 06 Nov 1994 08:49:37 GMT";

const CASES: readonly {
  readonly name: string;
  readonly values: readonly string[];
  readonly date?: string;
  /** The delay in milliseconds, or the kind of the result. */
  readonly want: number | "none" | "unreadable";
}[] = [
  { name: "no field", values: [], want: "none" },
  { name: "seconds", values: ["3"], want: 3_000 },
  { name: "a fraction of a second", values: [" 0.25 "], want: 250 },
  { name: "zero", values: ["0"], want: 0 },
  { name: "a very long time", values: ["1000000000"], want: 1e12 },
  { name: "the longest of several", values: ["1", "3", "2"], want: 3_000 },
  { name: "one of several that is valid", values: ["soon", "2"], want: 2_000 },
  { name: "a negative number", values: ["-3"], want: "unreadable" },
  { name: "an exponent", values: ["1e3"], want: "unreadable" },
  { name: "too many digits", values: ["9".repeat(400)], want: "unreadable" },
  { name: "nothing", values: [""], want: "unreadable" },
  { name: "words", values: ["soon"], want: "unreadable" },
  {
    name: "a date after the response's own",
    values: ["Sun, 06 Nov 1994 08:49:40 GMT"],
    date: DATE,
    want: 3_000,
  },
  {
    name: "a date with the obsolete two-digit year",
    values: ["Sunday, 06-Nov-94 08:49:40 GMT"],
    date: DATE,
    want: 3_000,
  },
  {
    name: "a date in the obsolete format of C",
    values: ["Sun Nov  6 08:49:40 1994"],
    date: DATE,
    want: 3_000,
  },
  {
    name: "a date before the response's own",
    values: ["Sun, 06 Nov 1994 08:49:30 GMT"],
    date: DATE,
    want: 0,
  },
  {
    name: "a date in a response without one",
    values: ["Sun, 06 Nov 1994 08:49:40 GMT"],
    want: "unreadable",
  },
  {
    name: "a date of another format",
    values: ["1994-11-06T08:49:40Z"],
    date: DATE,
    want: "unreadable",
  },
];

for (const { name, values, date, want } of CASES) {
  test(`Retry-After with ${name} is ${want}`, (t) => {
    const read = parseRetryAfter(values, date);
    t.is(read.kind === "delay" ? read.ms : read.kind, want);
  });
}
