/**
 * magnoliahook: global traffic steering as a library.
 *
 * @module
 */
export * as admin from "./admin/mod.ts";
export * as client from "./client/mod.ts";
export * as core from "./core/mod.ts";
export * as document from "./document/mod.ts";
export * as drains from "./decisions/drains/mod.ts";
export * as endpoints from "./endpoints/mod.ts";
export * as instance from "./instance/mod.ts";
export * as limits from "./decisions/limits/mod.ts";
export * as lookup from "./decisions/lookup/mod.ts";
export * as membership from "./membership/mod.ts";
export * as operations from "./operations/mod.ts";
export * as peers from "./peers/mod.ts";
export * as platform from "./store/mod.ts";
export * as regions from "./decisions/regions/mod.ts";
export * as retries from "./decisions/retries/mod.ts";
export * as settings from "./settings/mod.ts";
export * as slo from "./slo/mod.ts";
export * as steering from "./decisions/steering/mod.ts";
