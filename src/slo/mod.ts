/**
 * Service-level objectives: counts, stored summaries and burn-rate reports.
 *
 * @module
 */
export * from "./burn_publisher.ts";
export * from "./burn_report.ts";
export * from "./counts.ts";
export * from "./report_text.ts";
export * from "./summary.ts";
