/**
 * The sections of the steering document, each a schema of its own and owned
 * by one team.
 *
 * A section is named by its kind, or by kind and a part, as in
 * `services/crewdesk`, so that several teams may keep parts of one kind.
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

/** One key of a client account: its digest, never the key. */
export const KeyEntry = strict({
  id: KeyId.describe("Names the key; never given out again"),
  sha256: Sha256.describe("SHA-256 of the key"),
  withdrawn: z.boolean().default(false).describe("No longer taken"),
});
export type KeyEntry = z.infer<typeof KeyEntry>;

/** Client accounts and their keys. */
export const AccountsSection = strict({
  accounts: z.record(
    AccountId,
    strict({
      name: z.string().max(200).optional().describe("For people"),
      keys: z.array(KeyEntry).max(50).default([]).describe(
        "Digests of the account's keys",
      ),
      weight: z.number().positive().max(100).default(1).describe(
        "Part of a queue's turns under contention, against other accounts",
      ),
      cut_off_grace_s: z.number().int().min(0).max(86_400).default(3_600)
        .describe(
          "How long a zone cut off from the platform goes on taking this account's keys, in seconds: it cannot learn of a withdrawal",
        ),
    }),
  ),
});
export type AccountsSection = z.infer<typeof AccountsSection>;

/** Rate and burst of each client account, over all instances together. */
export const RatesSection = strict({
  rates: z.record(
    AccountId,
    strict({
      rate_per_s: z.number().positive().max(10_000_000).describe(
        "Requests a second, over all instances together",
      ),
      burst: z.number().positive().max(10_000_000).describe(
        "Requests at once above the rate, over all instances together",
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
            "Entry instances the zone is meant to have",
          ),
        }),
      ),
      headroom: z.number().min(0).max(1).default(0.2).describe(
        "Part of the region's slots kept free from other regions' work",
      ),
    }),
  ).default({}),
  links: z.array(strict({
    from: RegionId.describe("The region that sends"),
    to: RegionId.describe("The region that receives"),
    cap_mbit_per_s: z.number().positive().describe(
      "What traffic may take of the link in this direction",
    ),
    latency_ms: z.number().nonnegative().default(12).describe(
      "One way, in milliseconds",
    ),
  })).default([]).describe("Links between regions, one for each direction"),
});
export type RegionsSection = z.infer<typeof RegionsSection>;

/** One endpoint of a service. */
export const EndpointEntry = strict({
  zone: ZoneId.describe("The availability zone it stands in"),
  url: z.url({ protocol: /^https?$/ }).describe("Where it is reached"),
  slots: z.number().int().min(1).max(10_000).describe(
    "Requests it runs at once",
  ),
  connections: z.number().int().min(1).max(100_000).describe(
    "Connections it takes, over all instances together",
  ),
});
export type EndpointEntry = z.infer<typeof EndpointEntry>;

/** What holds for requests whose method and path match. */
export const RouteEntry = strict({
  method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "*"])
    .describe("The method, or any"),
  path_prefix: z.string().startsWith("/").max(200).describe(
    "What the path begins with",
  ),
  idempotent: z.boolean().describe(
    "Whether running such a request twice does no harm",
  ),
  deadline_ms: Milliseconds.optional().describe(
    "Instead of the service's, in milliseconds",
  ),
});
export type RouteEntry = z.infer<typeof RouteEntry>;

/** Services with their routes and endpoints. */
export const ServicesSection = strict({
  services: z.record(
    ServiceId,
    strict({
      deadline_ms: Milliseconds.default(5_000).describe(
        "How long a request may take, in milliseconds",
      ),
      queue_limit: z.number().int().min(0).max(100_000).default(256).describe(
        "Requests that may wait for a slot, per entry instance",
      ),
      routes: z.array(RouteEntry).max(100).default([]).describe(
        "First match counts; no match means the request is not idempotent",
      ),
      endpoints: z.record(EndpointId, EndpointEntry).default({}).describe(
        "What runs the service's requests",
      ),
      objective: strict({
        availability: z.number().gt(0).lt(1).default(0.999).describe(
          "Part of requests that are answered well",
        ),
        latency_ms: Milliseconds.default(500).describe(
          "An answer above this is slow, in milliseconds",
        ),
        latency_ratio: z.number().gt(0).lt(1).default(0.99).describe(
          "Part of good answers that are not slow",
        ),
      }).prefault({}).describe("The service-level objective"),
    }),
  ),
});
export type ServicesSection = z.infer<typeof ServicesSection>;

/** Where groups of clients are, and the zones that serve them best. */
export const SitesSection = strict({
  sites: z.record(
    SiteId,
    strict({
      zones: z.array(ZoneId).min(1).max(20).describe(
        "Availability zones, the best one first",
      ),
      blocks: z.array(
        z.string().max(50).refine(
          (text) => parseBlock(text) !== undefined,
          "must be a block of addresses, such as 203.0.113.0/24 or 2001:db8::/32",
        ),
      ).max(100_000).default([]).describe(
        "Client addresses in CIDR notation; the longest match counts",
      ),
    }),
  ),
});
export type SitesSection = z.infer<typeof SitesSection>;

/** One thing that is to get no new work. */
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
    "What is to get no new work",
  ),
});
export type DrainsSection = z.infer<typeof DrainsSection>;

/** Who may edit which sections through the administration API. */
export const AccessSection = strict({
  roles: z.record(
    z.string().max(64),
    strict({
      token_sha256: Sha256.describe("SHA-256 of the role's bearer token"),
      edits: z.array(z.string()).default([]).describe(
        "Section names, or kinds, that this role edits; `*` means all",
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

/** Every kind, in the order a reader wants them. */
export const SECTION_KINDS = Object.keys(SECTION_SCHEMAS) as SectionKind[];

/** Names a section: its kind, or kind and part. */
export const SectionName = z.string().max(100).regex(
  /^(access|accounts|rates|regions|services|sites|drains)(\/[a-z0-9][a-z0-9._-]*)?$/,
  `must be one of ${SECTION_KINDS.join(", ")}, or one of them and "/part"`,
).brand<"SectionName">();
export type SectionName = z.infer<typeof SectionName>;

/** The kind a section's name stands for. */
export function kindOf(name: SectionName): SectionKind {
  return name.split("/")[0] as SectionKind;
}
