import test from "ava";
import { readFile } from "node:fs/promises";
import { ADMIN_ROUTES, adminApp } from "../../src/admin/mod.ts";
import { openApi } from "./open_api.ts";
import { referencePages } from "./pages.ts";

const ROOT = new URL("../../", import.meta.url);

for (const [path, text] of referencePages()) {
  test(`${path} matches the code; if not, run npm run reference`, async (t) => {
    t.is(await readFile(new URL(path, ROOT), "utf8"), text);
  });
}

interface Layer {
  readonly route?: {
    readonly path: string;
    readonly methods: Readonly<Record<string, boolean>>;
  };
}

test("the OpenAPI file lists exactly the routes that the application serves", (t) => {
  const app = adminApp({} as Parameters<typeof adminApp>[0]);
  const served = (app.router.stack as unknown as Layer[])
    .flatMap(({ route }) =>
      Object.keys(route?.methods ?? {}).map((method) =>
        `${method} ${route?.path.replaceAll(/:(\w+)/g, "{$1}")}`
      )
    );
  const described = openApi(ADMIN_ROUTES) as {
    paths: Record<string, Record<string, unknown>>;
  };
  const listed = Object.entries(described.paths).flatMap(([path, methods]) =>
    Object.keys(methods).map((method) => `${method} ${path}`)
  );
  t.deepEqual(listed.sort(), served.sort());
});
