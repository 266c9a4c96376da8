import test, { type ExecutionContext } from "ava";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import {
  InstanceId,
  MemoryMetrics,
  RegionId,
  SystemClock,
  ZoneId,
} from "../core/mod.ts";
import { StoreServer } from "../../tools/standins/store_server.ts";
import { HttpPlatform } from "./http_platform.ts";
import { MemoryPlatform } from "./memory_platform.ts";
import { type ListedInstance, MAX_VALUE_BYTES, type Platform } from "./mod.ts";
import { FaultyPlatform, type PlatformFaults } from "./testing/mod.ts";

interface Subject {
  readonly platform: Platform;
  readonly faults: PlatformFaults;
  /** The store without faults. */
  readonly backing: MemoryPlatform;
  close(): Promise<void>;
}

const TIMEOUT_MS = 30_000;
const SHORT_TIMEOUT_MS = 300;

function memorySubject(): Promise<Subject> {
  const clock = new SystemClock();
  const backing = new MemoryPlatform(clock);
  const platform = new FaultyPlatform(backing, clock);
  const close = () => platform.close();
  return Promise.resolve({ platform, faults: platform.faults, backing, close });
}

async function httpSubject(timeoutMs = TIMEOUT_MS): Promise<Subject> {
  const server = await StoreServer.open();
  const platform = new HttpPlatform({
    baseUrl: server.url,
    metrics: new MemoryMetrics(),
    timeoutMs,
  });
  const close = async () => {
    await platform.close();
    await server.close();
  };
  return { platform, faults: server.faults, backing: server.platform, close };
}

const SUBJECTS = { memory: memorySubject, http: () => httpSubject() };

function listed(id: string, state: "live" | "leaving"): ListedInstance {
  return {
    instance: InstanceId.parse(id),
    zone: ZoneId.parse("gulf-a"),
    region: RegionId.parse("gulf"),
    peerUrl: "http://127.0.0.1:1",
    callerUrl: "http://127.0.0.1:2",
    state,
  };
}

interface TestCase {
  readonly name: string;
  readonly run: (t: ExecutionContext, s: Subject) => Promise<void>;
}

const CASES: TestCase[] = [
  {
    name: "a value is absent, then written once, then read with its version",
    run: async (t, { platform }) => {
      t.is((await platform.get("a/b"))._unsafeUnwrap(), undefined);
      const put = await platform.put("a/b", "one", { ifAbsent: true });
      const found = (await platform.get("a/b"))._unsafeUnwrap();
      t.is(found?.value, "one");
      t.is(found?.version, put._unsafeUnwrap());
    },
  },
  {
    name: "a write on an outdated version is a conflict",
    run: async (t, { platform }) => {
      const first = await platform.put("k", "1", { ifAbsent: true });
      const again = await platform.put("k", "2", { ifAbsent: true });
      const ifVersion = first._unsafeUnwrap();
      const next = await platform.put("k", "3", { ifVersion });
      const late = await platform.put("k", "4", { ifVersion });
      t.is(again._unsafeUnwrapErr().code, "conflict");
      t.true(next.isOk());
      t.is(late._unsafeUnwrapErr().code, "conflict");
      t.is((await platform.get("k"))._unsafeUnwrap()?.value, "3");
    },
  },
  {
    name: "a list holds the keys below a prefix and no others",
    run: async (t, { platform }) => {
      await platform.put("a/1", "x", { ifAbsent: true });
      await platform.put("a/2", "y", { ifAbsent: true });
      await platform.put("b/1", "z", { ifAbsent: true });
      const found = (await platform.list("a/"))._unsafeUnwrap();
      t.deepEqual(found.map((f) => f.key).sort(), ["a/1", "a/2"]);
    },
  },
  {
    name: "a watch ends when the value changes",
    run: async (t, { platform }) => {
      const put = await platform.put("k", "1", { ifAbsent: true });
      const ifVersion = put._unsafeUnwrap();
      const waiting = platform.watch("k", ifVersion, 20_000);
      await platform.put("k", "2", { ifVersion });
      t.is((await waiting)._unsafeUnwrap()?.value, "2");
    },
  },
  {
    name: "a watch on an absent key ends when it appears",
    run: async (t, { platform }) => {
      const waiting = platform.watch("k", undefined, 20_000);
      await platform.put("k", "1", { ifAbsent: true });
      t.is((await waiting)._unsafeUnwrap()?.value, "1");
    },
  },
  {
    // The store responds more slowly than usual. No call may count as failed.
    name: "calls to a slow store succeed",
    run: async (t, { platform, faults }) => {
      faults.slowMs = 30;
      t.true((await platform.put("k", "1", { ifAbsent: true })).isOk());
      t.is((await platform.get("k"))._unsafeUnwrap()?.value, "1");
    },
  },
  {
    // The store does not respond. Reads fail as unavailable; a write may have
    // taken effect, and an operator who sees "failed" would send it twice.
    name: "calls to a store that is down fail",
    run: async (t, { platform, faults }) => {
      faults.down = true;
      const calls = [
        platform.get("k"),
        platform.list("k"),
        platform.watch("k", undefined, 10),
        platform.instances(),
      ];
      for (const call of calls) {
        t.is((await call as Failed)._unsafeUnwrapErr().code, UNAVAILABLE);
      }
      const put = await platform.put("k", "1", { ifAbsent: true });
      t.is(put._unsafeUnwrapErr().code, "platform_outcome_unknown");
    },
  },
  {
    // A read is served by a lagging replica. It must carry the old version, so
    // that a write based on it is rejected and overwrites nothing.
    name: "a write based on a stale read is a conflict",
    run: async (t, { platform, faults, backing }) => {
      const one = await platform.put("k", "1", { ifAbsent: true });
      await platform.put("k", "2", { ifVersion: one._unsafeUnwrap() });
      faults.staleReads = true;
      const stale = (await platform.get("k"))._unsafeUnwrap();
      t.is(stale?.value, "1");
      const ifVersion = stale?.version ?? "";
      const put = await platform.put("k", "3", { ifVersion });
      t.is(put._unsafeUnwrapErr().code, "conflict");
      t.is((await backing.get("k"))._unsafeUnwrap()?.value, "2");
    },
  },
  {
    // The write took effect and its response was lost. A retry without reading
    // back would conflict with the first write.
    name: "a lost response to a write that took effect",
    run: async (t, { platform, faults }) => {
      faults.loseAnswers = "applied";
      const put = await platform.put("k", "1", { ifAbsent: true });
      t.is(put._unsafeUnwrapErr().code, "platform_outcome_unknown");
      t.is((await platform.get("k"))._unsafeUnwrap()?.value, "1");
    },
  },
  {
    // The request was lost before it reached the store. The writer cannot tell
    // this from the case above, so it may not count as done.
    name: "a lost response to a write that did not take effect",
    run: async (t, { platform, faults }) => {
      faults.loseAnswers = "dropped";
      const put = await platform.put("k", "1", { ifAbsent: true });
      t.is(put._unsafeUnwrapErr().code, "platform_outcome_unknown");
      t.is((await platform.get("k"))._unsafeUnwrap(), undefined);
    },
  },
  {
    name: "a repeated watch returns the version already seen",
    run: async (t, { platform, faults }) => {
      const put = await platform.put("k", "1", { ifAbsent: true });
      faults.watches = "repeated";
      const seen = put._unsafeUnwrap();
      const found = await platform.watch("k", seen, 20_000);
      t.is(found._unsafeUnwrap()?.version, seen);
    },
  },
  {
    // The value changed during the watch without a notification. The change must
    // be returned at the timeout, or it would never take effect.
    name: "a silent watch returns the current value at its timeout",
    run: async (t, { platform, faults }) => {
      const put = await platform.put("k", "1", { ifAbsent: true });
      const ifVersion = put._unsafeUnwrap();
      faults.watches = "silent";
      const waiting = platform.watch("k", ifVersion, 40);
      await platform.put("k", "2", { ifVersion });
      t.is((await waiting)._unsafeUnwrap()?.value, "2");
    },
  },
  {
    name: "a value over a megabyte is rejected and nothing is written",
    run: async (t, { platform }) => {
      const value = "x".repeat(MAX_VALUE_BYTES + 1);
      const put = await platform.put("k", value, { ifAbsent: true });
      t.is(put._unsafeUnwrapErr().code, "value_too_large");
      t.is((await platform.get("k"))._unsafeUnwrap(), undefined);
    },
  },
  {
    name: "a value of a megabyte is stored whole",
    run: async (t, { platform }) => {
      const value = "x".repeat(MAX_VALUE_BYTES);
      t.true((await platform.put("k", value, { ifAbsent: true })).isOk());
      const found = (await platform.get("k"))._unsafeUnwrap();
      t.is(found?.value.length, MAX_VALUE_BYTES);
    },
  },
  {
    // The list lags: an instance that has announced itself is not on it, so a
    // missing entry does not mean that the instance has ended.
    name: "a lagging instance list lacks a recent announcement",
    run: async (t, { platform, faults }) => {
      await platform.announce(listed("i1", "live"));
      t.is((await platform.instances())._unsafeUnwrap().length, 1);
      faults.listLagMs = 60_000;
      await platform.announce(listed("i2", "live"));
      t.deepEqual((await platform.instances())._unsafeUnwrap(), []);
    },
  },
  {
    name: "announcing leaving replaces the live announcement",
    run: async (t, { platform }) => {
      await platform.announce(listed("i1", "live"));
      await platform.announce(listed("i1", "leaving"));
      const found = (await platform.instances())._unsafeUnwrap();
      t.deepEqual(found.map((f) => f.state), ["leaving"]);
    },
  },
  {
    // A response is truncated. The value is returned as received, and its reader
    // checks it by digest or schema; no call throws.
    name: "a truncated body throws no error",
    run: async (t, { platform, faults }) => {
      await platform.put("k", "0123456789", { ifAbsent: true });
      faults.brokenBodies = true;
      t.is((await platform.get("k"))._unsafeUnwrap()?.value, "01234");
      await t.notThrowsAsync(async () => {
        await platform.list("k");
        await platform.instances();
        await platform.watch("k", undefined, 10);
      });
    },
  },
];

const UNAVAILABLE = "platform_unavailable";
interface Failed {
  _unsafeUnwrapErr(): { readonly code: string };
}

for (const [name, open] of Object.entries(SUBJECTS)) {
  for (const testCase of CASES) {
    test(`${name}: ${testCase.name}`, async (t) => {
      const subject = await open();
      try {
        await testCase.run(t, subject);
      } finally {
        await subject.close();
      }
    });
  }
}

test("http: a store that exceeds the timeout is unavailable", async (t) => {
  // The store hangs. Without a client timeout the caller would hang with it.
  const s = await httpSubject(SHORT_TIMEOUT_MS);
  s.faults.slowMs = 10 * SHORT_TIMEOUT_MS;
  const found = await s.platform.get("k");
  t.is(found._unsafeUnwrapErr().code, UNAVAILABLE);
  await s.close();
});

test("http: a truncated list is unavailable", async (t) => {
  // A truncated list must not be read as a store with fewer objects.
  const s = await httpSubject();
  await s.platform.put("k", "1", { ifAbsent: true });
  s.faults.brokenBodies = true;
  const found = await s.platform.list("k");
  t.is(found._unsafeUnwrapErr().code, UNAVAILABLE);
  await s.close();
});

test("http: an endless response is aborted", async (t) => {
  // Another server at the platform's address sends without end. Reading until
  // the timeout would exhaust the memory of every instance.
  const server = createServer((_req, res) => {
    const chunk = "x".repeat(1_000_000);
    const send = () => {
      while (!res.destroyed && res.write(chunk));
    };
    res.on("drain", send);
    send();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const platform = new HttpPlatform({
    baseUrl: `http://127.0.0.1:${port}`,
    metrics: new MemoryMetrics(),
    timeoutMs: TIMEOUT_MS,
  });
  const got = await platform.get("k");
  t.regex(got._unsafeUnwrapErr().message, /over 100000000 bytes/);
  await platform.close();
  server.closeAllConnections();
  server.close();
});
