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
  id: KeyId,
  sha256: Sha256,
  withdrawn: z.boolean().default(false),
});
export type KeyEntry = z.infer<typeof KeyEntry>;

/** Client accounts and their keys. */
export const AccountsSection = strict({
  accounts: z.record(
    AccountId,
    strict({
      name: z.string().max(200).optional(),
      keys: z.array(KeyEntry).max(50).default([]),
      /** Part of a queue's turns under contention, against other accounts. */
      weight: z.number().positive().max(100).default(1),
      /**
       * How long a zone cut off from the platform goes on taking this
       * account's keys, in seconds: it cannot learn of a withdrawal.
       */
      cut_off_grace_s: z.number().int().min(0).max(86_400).default(3_600),
    }),
  ),
});
export type AccountsSection = z.infer<typeof AccountsSection>;

/** Rate and burst of each client account, over all instances together. */
export const RatesSection = strict({
  rates: z.record(
    AccountId,
    strict({
      rate_per_s: z.number().positive().max(10_000_000),
      burst: z.number().positive().max(10_000_000),
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
          /** Entry instances the zone is meant to have. */
          instances: z.number().int().min(1).max(1000).default(2),
        }),
      ),
      /** Part of the region's slots kept free from other regions' work. */
      headroom: z.number().min(0).max(1).default(0.2),
    }),
  ).default({}),
  links: z.array(strict({
    from: RegionId,
    to: RegionId,
    cap_mbit_per_s: z.number().positive(),
    latency_ms: z.number().nonnegative().default(12),
  })).default([]),
});
export type RegionsSection = z.infer<typeof RegionsSection>;

/** One endpoint of a service. */
export const EndpointEntry = strict({
  zone: ZoneId,
  url: z.url({ protocol: /^https?$/ }),
  /** Requests it runs at once. */
  slots: z.number().int().min(1).max(10_000),
  /** Connections it takes, over all instances together. */
  connections: z.number().int().min(1).max(100_000),
});
export type EndpointEntry = z.infer<typeof EndpointEntry>;

/** What holds for requests whose method and path match. */
export const RouteEntry = strict({
  method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "*"]),
  path_prefix: z.string().startsWith("/").max(200),
  /** Whether running such a request twice does no harm. */
  idempotent: z.boolean(),
  deadline_ms: Milliseconds.optional(),
});
export type RouteEntry = z.infer<typeof RouteEntry>;

/** Services with their routes and endpoints. */
export const ServicesSection = strict({
  services: z.record(
    ServiceId,
    strict({
      deadline_ms: Milliseconds.default(5_000),
      /** Requests that may wait for a slot, per entry instance. */
      queue_limit: z.number().int().min(0).max(100_000).default(256),
      /** First match counts; no match means the request is not idempotent. */
      routes: z.array(RouteEntry).max(100).default([]),
      endpoints: z.record(EndpointId, EndpointEntry).default({}),
      objective: strict({
        availability: z.number().gt(0).lt(1).default(0.999),
        latency_ms: Milliseconds.default(500),
        latency_ratio: z.number().gt(0).lt(1).default(0.99),
      }).prefault({}),
    }),
  ),
});
export type ServicesSection = z.infer<typeof ServicesSection>;

/** Where groups of clients are, and the zones that serve them best. */
export const SitesSection = strict({
  sites: z.record(
    SiteId,
    strict({
      /** Availability zones, the best one first. */
      zones: z.array(ZoneId).min(1).max(20),
      /** Client addresses in CIDR notation; the longest match counts. */
      blocks: z.array(
        z.string().max(50).refine(
          (text) => parseBlock(text) !== undefined,
          "must be a block of addresses, such as 203.0.113.0/24 or 2001:db8::/32",
        ),
      ).max(100_000).default([]),
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
  drains: z.array(DrainEntry).max(10_000).default([]),
});
export type DrainsSection = z.infer<typeof DrainsSection>;

/** Who may edit which sections through the administration API. */
export const AccessSection = strict({
  roles: z.record(
    z.string().max(64),
    strict({
      token_sha256: Sha256,
      /** Section names, or kinds, that this role edits; `*` means all. */
      edits: z.array(z.string()).default([]),
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
