/**
 * Branded identifiers: a plain string in memory, a type of its own to the
 * compiler, so that an account can never be passed where an endpoint is meant.
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

/** Names a client account, the tenant on whose behalf a request runs. */
export const AccountId = id().brand<"AccountId">();
export type AccountId = z.infer<typeof AccountId>;

/** Names one endpoint of a service. */
export const EndpointId = id().brand<"EndpointId">();
export type EndpointId = z.infer<typeof EndpointId>;

/** Names one entry instance of the system. */
export const InstanceId = id().brand<"InstanceId">();
export type InstanceId = z.infer<typeof InstanceId>;

/** Names a region. */
export const RegionId = id().brand<"RegionId">();
export type RegionId = z.infer<typeof RegionId>;

/** Names an availability zone; unique over all regions. */
export const ZoneId = id().brand<"ZoneId">();
export type ZoneId = z.infer<typeof ZoneId>;

/** Names a site: where a group of client addresses is. */
export const SiteId = id().brand<"SiteId">();
export type SiteId = z.infer<typeof SiteId>;

/** Names a service. */
export const ServiceId = id().brand<"ServiceId">();
export type ServiceId = z.infer<typeof ServiceId>;

/** Names a key of a client account; never the key itself. */
export const KeyId = id().brand<"KeyId">();
export type KeyId = z.infer<typeof KeyId>;

/** Names one run of a request that is not idempotent. */
export const OperationId = z.string().min(1).max(200)
  .regex(/^[\x21-\x7e]+$/, "must be printable ASCII without spaces")
  .brand<"OperationId">();
export type OperationId = z.infer<typeof OperationId>;
