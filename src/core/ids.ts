/**
 * Branded identifiers: plain strings at run time but distinct types, so that
 * the compiler rejects an account id where an endpoint id is expected.
 *
 * @module
 */
import { z } from "zod";

const MAX_ID_LENGTH = 64;

function id() {
  return z.string().max(MAX_ID_LENGTH).regex(
    /^[a-z0-9][a-z0-9._-]*$/,
    "must be lower-case letters, digits, '.', '_' or '-'",
  );
}

/** Identifies a client account, the tenant on whose behalf a request runs. */
export const AccountId = id().brand<"AccountId">();
export type AccountId = z.infer<typeof AccountId>;

/** Identifies an endpoint of a service. */
export const EndpointId = id().brand<"EndpointId">();
export type EndpointId = z.infer<typeof EndpointId>;

/** Identifies an entry instance. */
export const InstanceId = id().brand<"InstanceId">();
export type InstanceId = z.infer<typeof InstanceId>;

/** Identifies a region. */
export const RegionId = id().brand<"RegionId">();
export type RegionId = z.infer<typeof RegionId>;

/** Identifies an availability zone; unique across all regions. */
export const ZoneId = id().brand<"ZoneId">();
export type ZoneId = z.infer<typeof ZoneId>;

/** Identifies a site, the location of a group of client addresses. */
export const SiteId = id().brand<"SiteId">();
export type SiteId = z.infer<typeof SiteId>;

/** Identifies a service. */
export const ServiceId = id().brand<"ServiceId">();
export type ServiceId = z.infer<typeof ServiceId>;

/** Identifies an API key of a client account; never the key itself. */
export const KeyId = id().brand<"KeyId">();
export type KeyId = z.infer<typeof KeyId>;

/** Identifies one execution of a request that is not idempotent. */
export const OperationId = z.string().min(1).max(200)
  .regex(/^[\x21-\x7e]+$/, "must be printable ASCII without spaces")
  .brand<"OperationId">();
export type OperationId = z.infer<typeof OperationId>;
