/**
 * Schemas of the steering document's sections, each owned by one team.
 *
 * A section is named by its kind, or by kind and part as in
 * `services/crewdesk`, so that several teams can own parts of one kind.
 *
 * @module
 */
import { z } from "zod";
import {
  AccountId,
  EndpointId,
  InstanceId,
  KeyId,
  RegionId,
  ServiceId,
  SiteId,
  strict,
  ZoneId,
} from "../core/mod.ts";
import { parseBlock } from "../decisions/clients/mod.ts";

const Sha256 = z.string().regex(
  /^[0-9a-f]{64}$/,
  "must be a SHA-256 digest in lower-case hexadecimal",
);
const Milliseconds = z.number().int().positive().max(3_600_000);

/** One key of a client account; only its digest is stored. */
export const KeyEntry = strict({
  id: KeyId.describe("Id of the key; never reused"),
  sha256: Sha256.describe("SHA-256 of the key"),
  withdrawn: z.boolean().default(false).describe(
    "Whether the key is withdrawn and no longer accepted",
  ),
});
export type KeyEntry = z.infer<typeof KeyEntry>;

/** Client accounts and their keys. */
export const AccountsSection = strict({
  accounts: z.record(
    AccountId,
    strict({
      name: z.string().max(200).optional().describe(
        "Display name; informational only",
      ),
      keys: z.array(KeyEntry).max(50).default([]).describe(
        "Digests of the account's keys",
      ),
      weight: z.number().positive().max(100).default(1).describe(
        "Weight in the fair queue under contention, relative to other accounts",
      ),
      cut_off_grace_s: z.number().int().min(0).max(86_400).default(3_600)
        .describe(
          "How long a zone that cannot reach the platform keeps accepting this account's keys, in seconds; it cannot see a withdrawal meanwhile",
        ),
    }),
  ),
});
export type AccountsSection = z.infer<typeof AccountsSection>;

/** Rate limit of each client account, across all instances. */
export const RatesSection = strict({
  rates: z.record(
    AccountId,
    strict({
      rate_per_s: z.number().positive().max(10_000_000).describe(
        "Requests per second, across all instances",
      ),
      burst: z.number().positive().max(10_000_000).describe(
        "Requests allowed at once above the rate, across all instances",
      ),
    }),
  ),
});
export type RatesSection = z.infer<typeof RatesSection>;

/** Regions, their availability zones, and the links between regions. */
export const RegionsSection = strict({
  regions: z.record(
    RegionId,
    strict({
      zones: z.record(
        ZoneId,
        strict({
          instances: z.number().int().min(1).max(1000).default(2).describe(
            "Expected number of entry instances in the zone",
          ),
        }),
      ),
      headroom: z.number().min(0).max(1).default(0.2).describe(
        "Fraction of the region's slots not used for other regions' requests",
      ),
    }),
  ).default({}),
  links: z.array(strict({
    from: RegionId.describe("Source region"),
    to: RegionId.describe("Destination region"),
    cap_mbit_per_s: z.number().positive().describe(
      "Bandwidth that traffic may use in this direction, in Mbit/s",
    ),
    latency_ms: z.number().nonnegative().default(12).describe(
      "One-way latency, in milliseconds",
    ),
  })).default([]).describe("Links between regions, one per direction"),
});
export type RegionsSection = z.infer<typeof RegionsSection>;

/** One endpoint of a service. */
export const EndpointEntry = strict({
  zone: ZoneId.describe("Availability zone of the endpoint"),
  url: z.url({ protocol: /^https?$/ }).describe("Base URL of the endpoint"),
  slots: z.number().int().min(1).max(10_000).describe(
    "Maximum concurrent requests",
  ),
  connections: z.number().int().min(1).max(100_000).describe(
    "Maximum connections, across all instances",
  ),
});
export type EndpointEntry = z.infer<typeof EndpointEntry>;

/** Properties of requests whose method and path match. */
export const RouteEntry = strict({
  method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "*"])
    .describe("HTTP method; `*` matches any"),
  path_prefix: z.string().startsWith("/").max(200).describe(
    "Prefix that the path must start with",
  ),
  idempotent: z.boolean().describe(
    "Whether the request can safely run more than once",
  ),
  deadline_ms: Milliseconds.optional().describe(
    "Overrides the service's deadline, in milliseconds",
  ),
});
export type RouteEntry = z.infer<typeof RouteEntry>;

/** Services with their routes and endpoints. */
export const ServicesSection = strict({
  services: z.record(
    ServiceId,
    strict({
      deadline_ms: Milliseconds.default(5_000).describe(
        "Deadline of a request, in milliseconds",
      ),
      queue_limit: z.number().int().min(0).max(100_000).default(256).describe(
        "Maximum requests queued for a slot, per entry instance",
      ),
      routes: z.array(RouteEntry).max(100).default([]).describe(
        "The first match applies; a request without a match is not idempotent",
      ),
      endpoints: z.record(EndpointId, EndpointEntry).default({}).describe(
        "Endpoints that run the service's requests, by id",
      ),
      objective: strict({
        availability: z.number().gt(0).lt(1).default(0.999).describe(
          "Target fraction of requests that succeed",
        ),
        latency_ms: Milliseconds.default(500).describe(
          "Latency above which a response is slow, in milliseconds",
        ),
        latency_ratio: z.number().gt(0).lt(1).default(0.99).describe(
          "Target fraction of successful responses that are not slow",
        ),
      }).prefault({}).describe("The service-level objective"),
    }),
  ),
});
export type ServicesSection = z.infer<typeof ServicesSection>;

/** Groups of client addresses and their preferred zones. */
export const SitesSection = strict({
  sites: z.record(
    SiteId,
    strict({
      zones: z.array(ZoneId).min(1).max(20).describe(
        "Availability zones in order of preference",
      ),
      blocks: z.array(
        z.string().max(50).refine(
          (text) => parseBlock(text) !== undefined,
          "must be a CIDR block such as 203.0.113.0/24 or 2001:db8::/32",
        ),
      ).max(100_000).default([]).describe(
        "Client address blocks in CIDR notation; the longest prefix match applies",
      ),
    }),
  ),
});
export type SitesSection = z.infer<typeof SitesSection>;

/** An endpoint, zone, region or instance that receives no new requests. */
export const DrainEntry = z.discriminatedUnion("kind", [
  strict({ kind: z.literal("endpoint"), id: EndpointId }),
  strict({ kind: z.literal("zone"), id: ZoneId }),
  strict({ kind: z.literal("region"), id: RegionId }),
  strict({ kind: z.literal("instance"), id: InstanceId }),
]);
export type DrainEntry = z.infer<typeof DrainEntry>;

/** Planned drains. */
export const DrainsSection = strict({
  drains: z.array(DrainEntry).max(10_000).default([]).describe(
    "Endpoints, zones, regions and instances that receive no new requests",
  ),
});
export type DrainsSection = z.infer<typeof DrainsSection>;

/** Roles and the sections each may edit through the administration API. */
export const AccessSection = strict({
  roles: z.record(
    z.string().max(64),
    strict({
      token_sha256: Sha256.describe("SHA-256 of the role's bearer token"),
      edits: z.array(z.string()).default([]).describe(
        "Section names or kinds that this role may edit; `*` means all",
      ),
    }),
  ),
});
export type AccessSection = z.infer<typeof AccessSection>;

/** The schema of each section kind. */
export const SECTION_SCHEMAS = {
  access: AccessSection,
  accounts: AccountsSection,
  rates: RatesSection,
  regions: RegionsSection,
  services: ServicesSection,
  sites: SitesSection,
  drains: DrainsSection,
} as const;

/** A kind of section. */
export type SectionKind = keyof typeof SECTION_SCHEMAS;

/** Every kind, in documentation order. */
export const SECTION_KINDS = Object.keys(SECTION_SCHEMAS) as SectionKind[];

/** A section's name: `kind` or `kind/part`. */
export const SectionName = z.string().max(100).regex(
  /^(access|accounts|rates|regions|services|sites|drains)(\/[a-z0-9][a-z0-9._-]*)?$/,
  `must be one of ${SECTION_KINDS.join(", ")}, optionally followed by "/part"`,
).brand<"SectionName">();
export type SectionName = z.infer<typeof SectionName>;

/** The kind in a section's name. */
export function sectionKindOf(name: SectionName): SectionKind {
  return name.split("/")[0] as SectionKind;
}
