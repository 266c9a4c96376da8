/**
 * Runs the endpoints of one availability zone in one process, with a control
 * listener: `GET /runs` returns the recorded requests, `POST /slow/ID/FACTOR`
 * slows one endpoint down.
 *
 * @module
 */
import { createServer, type IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";
import {
  EndpointServer,
  type EndpointSpec,
} from "../standins/endpoint_server.ts";

const specs = JSON.parse(process.argv[2] ?? "[]") as EndpointSpec[];
const endpoints = await Promise.all(specs.map((s) => EndpointServer.open(s)));
const control = createServer((req, res) => {
  slowDown(req);
  res.end(JSON.stringify(endpoints.flatMap((e) => e.runs)));
});
control.listen(0, "127.0.0.1", () => {
  const { port } = control.address() as AddressInfo;
  const urls = endpoints.map((e) => [e.spec.id, e.url]);
  console.log(JSON.stringify({ control: `http://127.0.0.1:${port}`, urls }));
});

function slowDown(req: IncomingMessage): void {
  const [, verb, id, factor] = req.url?.split("/") ?? [];
  if (verb !== "slow") return;
  for (const endpoint of endpoints) {
    if (endpoint.spec.id === id) endpoint.latencyFactor = Number(factor);
  }
}
