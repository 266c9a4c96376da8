/**
 * Parsing of addresses and CIDR blocks (RFC 4632, RFC 4291).
 *
 * @module
 */
import { z } from "zod";

export type AddressFamily = "v4" | "v6";

/** Leading bits of an address that site lookup uses. */
export const FAMILY_BITS: Readonly<Record<AddressFamily, number>> = {
  v4: 32,
  v6: 48,
};

/** A block: the used bits of its first address, and its prefix length. */
export interface CidrBlock {
  readonly family: AddressFamily;
  readonly start: number;
  readonly length: number;
}

const { ipv4: IPV4, ipv6: IPV6 } = z.core.regexes;
const V4_MAPPED_PREFIX = "::ffff:";
const V6_GROUPS_USED = 3;
const V6_GROUPS = 8;

/**
 * Parses a block; undefined if the text is not one, has bits set beyond its
 * length, or is an IPv6 prefix longer than 48 bits, which no network routes.
 *
 * @example
 * ```ts
 * parseBlock("203.0.113.0/24"); // { family: "v4", start: 3405803776, length: 24 }
 * ```
 */
export function parseBlock(text: string): CidrBlock | undefined {
  const slash = text.indexOf("/");
  const address = parseAddress(text.slice(0, slash));
  const digits = text.slice(slash + 1);
  if (slash < 0 || address === undefined || !/^\d{1,2}$/.test(digits)) {
    return undefined;
  }
  const { family, value, hasLowBits } = address;
  const length = Number(digits);
  if (length > FAMILY_BITS[family] || hasLowBits) return undefined;
  if (value % blockSize(family, length) !== 0) return undefined;
  return { family, start: value, length };
}

/** An address, reduced to the bits that site lookup uses. */
export interface Address {
  readonly family: AddressFamily;
  readonly value: number;
  /** Whether any of the other bits is set. */
  readonly hasLowBits: boolean;
}

/**
 * Parses an address; undefined if the text is not one. An IPv4-mapped IPv6
 * address gives the IPv4 address.
 *
 * @example
 * ```ts
 * parseAddress("::ffff:192.0.2.1"); // the same as parseAddress("192.0.2.1")
 * ```
 */
export function parseAddress(text: string): Address | undefined {
  const plain = text.startsWith(V4_MAPPED_PREFIX)
    ? text.slice(V4_MAPPED_PREFIX.length)
    : text;
  if (IPV4.test(plain)) {
    return { family: "v4", value: v4Value(plain), hasLowBits: false };
  }
  return IPV6.test(text) ? parseV6(text) : undefined;
}

/** Number of addresses in a block; IPv6 is counted in /48 prefixes. */
export function blockSize(family: AddressFamily, length: number): number {
  return 2 ** (FAMILY_BITS[family] - length);
}

function v4Value(text: string): number {
  return text.split(".").reduce((n, part) => n * 256 + Number(part), 0);
}

function parseV6(text: string): Address {
  const [head = "", tail] = text.split("::");
  const before = groupsOf(head);
  const after = tail === undefined ? [] : groupsOf(tail);
  const zeros = V6_GROUPS - before.length - after.length;
  const groups = [
    ...before,
    ...new Array<number>(Math.max(0, zeros)).fill(0),
    ...after,
  ];
  const value = groups.slice(0, V6_GROUPS_USED)
    .reduce((n, group) => n * 65_536 + group, 0);
  const hasLowBits = groups.slice(V6_GROUPS_USED).some((group) => group !== 0);
  return { family: "v6", value, hasLowBits };
}

function groupsOf(text: string): number[] {
  return text === "" ? [] : text.split(":").map((group) => parseInt(group, 16));
}
