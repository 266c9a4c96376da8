/**
 * The example deployments as section files.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { stringify } from "smol-toml";
import { DEPLOYMENTS, endpointList, sectionsOf } from "../demo/deployments.ts";

const FIRST_PORT = 9_000;

/** Every example file, by path relative to the repository root. */
export function exampleFiles(): ReadonlyMap<string, string> {
  const files = new Map<string, string>();
  for (const [name, deployment] of Object.entries(DEPLOYMENTS)) {
    const zones = Object.values(deployment.regions).flat();
    const urls = new Map(
      endpointList(deployment).map((endpoint, i) => {
        const zone = zones.indexOf(endpoint.zone) + 1;
        return [endpoint.id, `http://10.${zone}.1.10:${FIRST_PORT + i}`];
      }),
    );
    const sections = sectionsOf(deployment, {
      urlOf: (id) => urls.get(id) ?? "",
      digest: (text) => createHash("sha256").update(text).digest("hex"),
    });
    for (const [section, value] of Object.entries(sections)) {
      const text = stringify(value) + "\n";
      files.set(`examples/${name}/${section}.toml`, text);
    }
  }
  return files;
}
