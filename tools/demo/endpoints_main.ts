/** The endpoints of one availability zone as a process. */
import process from "node:process";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { EndpointServer } from "../standins/endpoint_server.ts";

const specs = JSON.parse(process.argv[2] ?? "[]") as {
  id: string;
  slots: number;
  workMs: number;
}[];
const endpoints = await Promise.all(specs.map((s) => EndpointServer.open(s)));
const control = createServer((_req, res) => {
  const all = endpoints.map(({ opts, counts }) => ({
    id: opts.id,
    ...counts,
    operations: [...counts.operations],
    runsByAccount: [...counts.runsByAccount],
  }));
  res.end(JSON.stringify(all));
});
control.listen(0, "127.0.0.1", () => {
  const { port } = control.address() as AddressInfo;
  const urls = endpoints.map((e) => [e.opts.id, e.url]);
  console.log(
    JSON.stringify({ control: `http://127.0.0.1:${port}`, urls }),
  );
});
