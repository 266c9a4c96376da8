import test from "ava";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Agent, request } from "undici";
import { MemoryMetrics, SilentLog } from "../core/mod.ts";
import { CERTIFICATE_ONE } from "./testing/certificates.ts";
import { startTestInstance } from "./testing/test_instance.ts";

test("an instance with a certificate serves callers over HTTPS and lists an https URL", async (t) => {
  const dir = await mkdtemp(join(tmpdir(), "magnoliahook-tls-"));
  t.teardown(() => rm(dir, { recursive: true }));
  const tls = {
    cert_file: join(dir, "cert.pem"),
    key_file: join(dir, "key.pem"),
  };
  await writeFile(tls.cert_file, CERTIFICATE_ONE.cert);
  await writeFile(tls.key_file, CERTIFICATE_ONE.key);
  const one = await startTestInstance({
    log: new SilentLog(),
    metrics: new MemoryMetrics(),
    caller: { tls, limits: { header_bytes: 2_048 } },
  });
  t.teardown(() => one.close());
  const dispatcher = new Agent({ connect: { ca: CERTIFICATE_ONE.cert } });
  t.teardown(() => dispatcher.close());
  const url = `${one.instance.callerUrl}/v1/lookup`;
  const res = await request(url, { dispatcher });
  const { instances } = await res.body.json() as {
    instances: { url: string }[];
  };
  t.is(instances[0]?.url, one.instance.callerUrl);
  t.regex(one.instance.callerUrl, /^https:/);
  const headers = { "x-large": "x".repeat(4_000) };
  const refused = await request(url, { dispatcher, headers });
  t.is(refused.statusCode, 431);
  await refused.body.dump();
});
