/**
 * The administration API, on a listener of its own.
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
import { type AccessDeps, type Role, roleOf } from "./access.ts";
import { sendFailure } from "./answers.ts";
import { ADMIN_ROUTES, type AdminRoute, type RouteDeps } from "./routes.ts";

/** What the administration API needs. */
export type AdminAppDeps = RouteDeps & AccessDeps;

const MAX_SECTION_BODY = "20mb";
const NOBODY: Role = { name: "nobody", edits: [] };

/** Builds the administration API's express application. */
export function adminApp(deps: AdminAppDeps): Express {
  const app = express();
  app.disable("x-powered-by");
  app.disable("etag");
  for (const route of ADMIN_ROUTES) addRoute(app, deps, route);
  app.use((_req: Request, res: Response) => {
    sendFailure(res, failure("not_found", "no such path"));
  });
  app.use(sendThrown);
  return app;
}

/** Who calls is known before a byte of the body is read. */
function addRoute(app: Express, deps: AdminAppDeps, route: AdminRoute): void {
  const parse = route.section
    ? [express.json({ limit: MAX_SECTION_BODY, strict: false })]
    : [];
  const authenticate = (req: Request, res: Response, next: NextFunction) => {
    if (route.access === "none") return next();
    const role = roleOf(deps, req.headers.authorization);
    if (role.isErr()) return sendFailure(res, role.error);
    res.locals["role"] = role.value;
    next();
  };
  app[route.method](route.path, authenticate, ...parse, async (req, res) => {
    const role = res.locals["role"] as Role | undefined ?? NOBODY;
    const reply = await route.handle(deps, { req, res, role });
    if (reply.isErr()) return sendFailure(res, reply.error);
    const { status = 200, etag, body } = reply.value;
    if (etag !== undefined) res.setHeader("etag", etag);
    res.status(status).json(body);
  });
}

/** What the body parser throws, as a typed refusal. */
function sendThrown(
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
