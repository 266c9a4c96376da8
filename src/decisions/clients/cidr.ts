/**
 * Blocks of client addresses in CIDR notation (RFC 4632, RFC 4291).
 *
 * @module
 */
import { z } from "zod";

/** An address family. */
export type Family = "v4" | "v6";

/** Bits of an address that steering looks at. */
export const FAMILY_BITS: Readonly<Record<Family, number>> = { v4: 32, v6: 48 };

/** A block: its first address as a number of the family's bits, and its length. */
export interface Block {
  readonly family: Family;
  readonly start: number;
  readonly length: number;
}

const { ipv4: IPV4, ipv6: IPV6 } = z.core.regexes;
const V4_IN_V6 = "::ffff:";
const GROUPS_USED = 3;
const GROUPS = 8;

/**
 * Reads a block; undefined where it is not one, has bits below its length, or
 * is a longer IPv6 prefix than 48 bits, which no network routes.
 *
 * @example
 * ```ts
 * parseBlock("203.0.113.0/24"); // { family: "v4", start: 3405803776, length: 24 }
 * ```
 */
export function parseBlock(text: string): Block | undefined {
  const slash = text.indexOf("/");
  const found = parseAddress(text.slice(0, slash));
  const digits = text.slice(slash + 1);
  if (slash < 0 || found === undefined || !/^\d{1,2}$/.test(digits)) {
    return undefined;
  }
  const { family, value, lowBits } = found;
  const length = Number(digits);
  if (length > FAMILY_BITS[family] || lowBits) return undefined;
  if (value % blockSize(family, length) !== 0) return undefined;
  return { family, start: value, length };
}

/** An address as steering sees it. */
export interface Address {
  readonly family: Family;
  readonly value: number;
  /** Whether it has bits beyond those that steering looks at. */
  readonly lowBits: boolean;
}

/**
 * Reads an address as the number that its family's bits make.
 *
 * @example
 * ```ts
 * parseAddress("::ffff:192.0.2.1"); // the same as parseAddress("192.0.2.1")
 * ```
 */
export function parseAddress(text: string): Address | undefined {
  const plain = text.startsWith(V4_IN_V6) ? text.slice(V4_IN_V6.length) : text;
  if (IPV4.test(plain)) {
    return { family: "v4", value: v4Value(plain), lowBits: false };
  }
  return IPV6.test(text) ? parseV6(text) : undefined;
}

/** How many addresses a block of this length holds. */
export function blockSize(family: Family, length: number): number {
  return 2 ** (FAMILY_BITS[family] - length);
}

function v4Value(text: string): number {
  return text.split(".").reduce((n, part) => n * 256 + Number(part), 0);
}

function parseV6(text: string): Address {
  const [head = "", tail] = text.split("::");
  const before = groupsOf(head);
  const after = tail === undefined ? [] : groupsOf(tail);
  const zeros = GROUPS - before.length - after.length;
  const groups = [
    ...before,
    ...new Array<number>(Math.max(0, zeros)).fill(0),
    ...after,
  ];
  const value = groups.slice(0, GROUPS_USED)
    .reduce((n, group) => n * 65_536 + group, 0);
  const lowBits = groups.slice(GROUPS_USED).some((group) => group !== 0);
  return { family: "v6", value, lowBits };
}

function groupsOf(text: string): number[] {
  return text === "" ? [] : text.split(":").map((group) => parseInt(group, 16));
}
