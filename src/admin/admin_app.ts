/**
 * The administration API, on a listener of its own.
 *
 * @module
 */
import express, { type Express } from "express";
import type { Failure } from "../core/mod.ts";
import type { DrainProgress } from "../decisions/drains/mod.ts";
import type { HeldSeat } from "../membership/mod.ts";

/** What the administration API needs. */
export interface AdminAppDeps {
  readonly ready: () => boolean;
  readonly status: () => InstanceStatus;
}

/** What an instance says of itself. */
export interface InstanceStatus {
  readonly instance: string;
  readonly zone: string;
  readonly generation: number;
  /** What of the newest document is not in force, and why. */
  readonly rejected: readonly Failure[];
  /** How long there has been no contact with the platform; null if never. */
  readonly contact_age_ms: number | null;
  readonly seats: readonly HeldSeat[];
  readonly running: number;
  readonly leaving: boolean;
  /** Whether the document drains this instance. */
  readonly drained: boolean;
  readonly drains: readonly DrainProgress[];
  readonly members: readonly string[];
}

/** Builds the administration API's express application. */
export function adminApp(deps: AdminAppDeps): Express {
  const app = express();
  app.disable("x-powered-by");
  app.get("/livez", (_req, res) => {
    res.json({ live: true });
  });
  app.get("/readyz", (_req, res) => {
    const ready = deps.ready();
    res.status(ready ? 200 : 503).json({ ready });
  });
  app.get("/v1/status", (_req, res) => {
    res.json(deps.status());
  });
  return app;
}
