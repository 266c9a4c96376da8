/**
 * The HTTP interface for callers: look-ups and requests to services.
 *
 * @module
 */
import express, {
  type Express,
  type NextFunction,
  type Request,
  type Response,
} from "express";
import { z } from "zod";
import { checkValue, failure, fromZod, ServiceId } from "../core/mod.ts";
import type { EntryChoice } from "../decisions/lookup/mod.ts";
import { sendFailure } from "./failure_response.ts";
import type { RequestPipeline } from "./request_pipeline.ts";

const ClientAddress = z.union([z.ipv4(), z.ipv6()]);

/** The body of a look-up call. */
export const LookupRequest = z.strictObject({
  lookups: z.array(z.strictObject({
    service: ServiceId.optional(),
    /** The client's address; the caller's own where it is missing. */
    client: ClientAddress.optional(),
  })).min(1)
    .max(1_000),
});

/** The result of a look-up; it may be cached for `reuse_ms` milliseconds. */
export interface LookupAnswer {
  readonly reuse_ms: number;
  readonly instances: readonly (EntryChoice & { home?: string })[];
}

/** Dependencies of {@link callerApp}. */
export interface CallerAppDeps {
  readonly path: RequestPipeline;
  /** Chooses instances for a client's address. */
  readonly lookup: (client: string) => LookupAnswer;
  readonly ready: () => boolean;
}

const MAX_LOOKUP_BODY_SIZE = "256kb";

/** Builds the express application for callers. */
export function callerApp(deps: CallerAppDeps): Express {
  const app = express();
  app.disable("x-powered-by");
  app.disable("etag");
  app.get("/v1/lookup", (req, res) => lookupOne(deps, req, res));
  app.post(
    "/v1/lookup",
    express.json({ limit: MAX_LOOKUP_BODY_SIZE }),
    (req, res) => lookupMany(deps, req, res),
  );
  app.use("/services/:service", async (req, res) => {
    if (!deps.ready()) return sendFailure(res, NOT_READY);
    const target = { service: String(req.params["service"]), path: req.url };
    await deps.path.handle(req, res, target);
  });
  app.use((_req: Request, res: Response) => {
    sendFailure(
      res,
      failure("not_found", "no such path", { outcome: "not-run" }),
    );
  });
  app.use(handleThrown);
  return app;
}

/** Answers errors of the JSON body parser, and unexpected exceptions. */
function handleThrown(
  cause: unknown,
  _req: Request,
  res: Response,
  _next: NextFunction,
): void {
  const type = cause instanceof Error && "type" in cause ? cause.type : "";
  if (type === "entity.too.large") {
    const message = `the look-up's body is larger than ${MAX_LOOKUP_BODY_SIZE}`;
    sendFailure(
      res,
      failure("value_too_large", message, { outcome: "not-run" }),
    );
  } else if (type !== "") {
    const message = "the body is not JSON";
    sendFailure(res, failure("bad_request", message, { outcome: "not-run" }));
  } else {
    const message = "unexpected internal error";
    sendFailure(res, failure("internal", message, { outcome: "unknown" }));
  }
}

const NOT_READY = failure(
  "not_ready",
  "this instance has not loaded a document yet",
  {
    outcome: "not-run",
    retryAfterMs: 1_000,
  },
);

function lookupOne(deps: CallerAppDeps, req: Request, res: Response): void {
  const client = ClientAddress.optional().safeParse(req.query["client"]);
  if (!client.success) {
    sendFailure(res, fromZod("bad_request", client.error));
    return;
  }
  res.json(deps.lookup(client.data ?? remoteAddressOf(req)));
}

function remoteAddressOf(req: Request): string {
  return req.socket.remoteAddress ?? "";
}

function lookupMany(deps: CallerAppDeps, req: Request, res: Response): void {
  const parsed = checkValue("bad_request", LookupRequest, req.body);
  if (parsed.isErr()) {
    sendFailure(res, { ...parsed.error, outcome: "not-run" });
    return;
  }
  const answers = parsed.value.lookups.map((l) =>
    deps.lookup(l.client ?? remoteAddressOf(req))
  );
  res.json({ answers });
}
