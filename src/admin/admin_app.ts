/**
 * The Express application of the administration API, on its own listener.
 *
 * @module
 */
import express, {
  type Express,
  type NextFunction,
  type Request,
  type Response,
} from "express";
import { failure } from "../core/mod.ts";
import { type AccessDeps, authenticate, type Role } from "./access.ts";
import { sendFailure } from "./responses.ts";
import { ADMIN_ROUTES, type AdminRoute, type RouteDeps } from "./routes.ts";

/** Dependencies of the administration API. */
export type AdminAppDeps = RouteDeps & AccessDeps;

const MAX_SECTION_BODY = "20mb";
const ANONYMOUS_ROLE: Role = { name: "nobody", edits: [] };

export function adminApp(deps: AdminAppDeps): Express {
  const app = express();
  app.disable("x-powered-by");
  app.disable("etag");
  for (const route of ADMIN_ROUTES) registerRoute(app, deps, route);
  app.use((_req: Request, res: Response) => {
    sendFailure(res, failure("not_found", "no such path"));
  });
  app.use(errorHandler);
  return app;
}

/** Authenticates the caller before any of the body is read. */
function registerRoute(
  app: Express,
  deps: AdminAppDeps,
  route: AdminRoute,
): void {
  const parsers = route.section
    ? [express.json({ limit: MAX_SECTION_BODY, strict: false })]
    : [];
  const requireRole = (req: Request, res: Response, next: NextFunction) => {
    if (route.access === "none") return next();
    const role = authenticate(deps, req.headers.authorization);
    if (role.isErr()) return sendFailure(res, role.error);
    res.locals["role"] = role.value;
    next();
  };
  app[route.method](route.path, requireRole, ...parsers, async (req, res) => {
    const role = res.locals["role"] as Role | undefined ?? ANONYMOUS_ROLE;
    const reply = await route.handle(deps, { req, res, role });
    if (reply.isErr()) return sendFailure(res, reply.error);
    const { status = 200, etag, body } = reply.value;
    if (etag !== undefined) res.setHeader("etag", etag);
    res.status(status).json(body);
  });
}

/** Turns errors thrown by the body parser or a handler into typed failures. */
function errorHandler(
  cause: unknown,
  _req: Request,
  res: Response,
  _next: NextFunction,
): void {
  const status = cause instanceof Error && "status" in cause
    ? Number(cause.status)
    : 500;
  if (status === 413) {
    const message = `the body is larger than ${MAX_SECTION_BODY}`;
    return sendFailure(res, failure("value_too_large", message));
  }
  const message = cause instanceof Error ? cause.message : String(cause);
  const code = status < 500 ? "bad_request" : "internal";
  sendFailure(res, failure(code, message));
}
