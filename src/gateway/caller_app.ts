/**
 * What callers reach: look-ups and requests to services.
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
import { refuse } from "./refusal.ts";
import type { RequestPath } from "./request_path.ts";

const ClientAddress = z.union([z.ipv4(), z.ipv6()]);

/** One question of a look-up call. */
export const LookupRequest = z.strictObject({
  lookups: z.array(z.strictObject({
    service: ServiceId.optional(),
    /** The client's address, where another asks for it. */
    client: ClientAddress.optional(),
  })).min(1)
    .max(1_000),
});

/** An answer to a look-up; it may be reused for `reuse_ms` milliseconds. */
export interface LookupAnswer {
  readonly reuse_ms: number;
  readonly instances: readonly (EntryChoice & { home?: string })[];
}

/** What the caller side needs. */
export interface CallerAppDeps {
  readonly path: RequestPath;
  /** Answers for a client's address. */
  readonly lookup: (client: string) => LookupAnswer;
  readonly ready: () => boolean;
}

const MAX_LOOKUP_BODY = "256kb";

/** Builds the caller side's express application. */
export function callerApp(deps: CallerAppDeps): Express {
  const app = express();
  app.disable("x-powered-by");
  app.disable("etag");
  app.get("/v1/lookup", (req, res) => lookupOne(deps, req, res));
  app.post(
    "/v1/lookup",
    express.json({ limit: MAX_LOOKUP_BODY }),
    (req, res) => lookupMany(deps, req, res),
  );
  app.use("/services/:service", async (req, res) => {
    if (!deps.ready()) return refuse(res, NOT_READY);
    const target = { service: String(req.params["service"]), path: req.url };
    await deps.path.handle(req, res, target);
  });
  app.use((_req: Request, res: Response) => {
    refuse(res, failure("not_found", "no such path", { outcome: "not-run" }));
  });
  app.use(refuseThrown);
  return app;
}

/** What the parser of look-ups throws, and what should not be thrown at all. */
function refuseThrown(
  cause: unknown,
  _req: Request,
  res: Response,
  _next: NextFunction,
): void {
  const type = cause instanceof Error && "type" in cause ? cause.type : "";
  if (type === "entity.too.large") {
    const message = `a look-up's body may have ${MAX_LOOKUP_BODY}`;
    refuse(res, failure("value_too_large", message, { outcome: "not-run" }));
  } else if (type !== "") {
    const message = "the body is not JSON";
    refuse(res, failure("bad_request", message, { outcome: "not-run" }));
  } else {
    const message = "an unforeseen failure";
    refuse(res, failure("internal", message, { outcome: "unknown" }));
  }
}

const NOT_READY = failure("not_ready", "no document is in force here yet", {
  outcome: "not-run",
  retryAfterMs: 1_000,
});

function lookupOne(deps: CallerAppDeps, req: Request, res: Response): void {
  const given = ClientAddress.optional().safeParse(req.query["client"]);
  if (!given.success) {
    refuse(res, fromZod("bad_request", given.error));
    return;
  }
  res.json(deps.lookup(given.data ?? addressOf(req)));
}

/** Whoever asks without naming a client asks for itself. */
function addressOf(req: Request): string {
  return req.socket.remoteAddress ?? "";
}

function lookupMany(deps: CallerAppDeps, req: Request, res: Response): void {
  const parsed = checkValue("bad_request", LookupRequest, req.body);
  if (parsed.isErr()) {
    refuse(res, { ...parsed.error, outcome: "not-run" });
    return;
  }
  const answers = parsed.value.lookups.map((l) =>
    deps.lookup(l.client ?? addressOf(req))
  );
  res.json({ answers });
}
