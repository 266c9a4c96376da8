/**
 * Parsing of `host:port` addresses.
 *
 * @module
 */

export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/**
 * Splits `host:port` at its last colon.
 *
 * @example
 * ```ts
 * splitAddress("10.1.0.23:8389"); // { host: "10.1.0.23", port: 8389 }
 * ```
 */
export function splitAddress(address: string): HostPort {
  const colon = address.lastIndexOf(":");
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}
