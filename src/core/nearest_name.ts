/**
 * Suggestions for mistyped names.
 *
 * @module
 */

const MAX_DISTANCE = 3;
const MAX_NAME_LENGTH = 64;

/**
 * Finds the known name with the fewest edits, at most a third of its length.
 *
 * @example
 * ```ts
 * nearestName("prot", ["host", "port"]); // "port"
 * ```
 */
export function nearestName(
  name: string,
  known: readonly string[],
): string | undefined {
  if (name.length > MAX_NAME_LENGTH) return undefined;
  let best: string | undefined;
  let bestDistance = Math.min(MAX_DISTANCE, Math.ceil(name.length / 3)) + 1;
  for (const candidate of known) {
    const distance = editDistance(name, candidate.slice(0, MAX_NAME_LENGTH));
    if (distance < bestDistance) [best, bestDistance] = [candidate, distance];
  }
  return best;
}

/**
 * Formats an error about an unknown name, with the nearest and all known names.
 *
 * @example
 * ```ts
 * unknownNameMessage("key", "prot", ["host", "port"]);
 * // 'unknown key "prot"; did you mean "port"? Allowed: host, port'
 * ```
 */
export function unknownNameMessage(
  what: string,
  name: string,
  known: readonly string[],
): string {
  const suggestion = nearestName(name, known);
  const hint = suggestion === undefined
    ? ""
    : `; did you mean "${suggestion}"?`;
  const end = hint === "" ? ". " : " ";
  const shown = JSON.stringify(name.slice(0, MAX_NAME_LENGTH));
  return `unknown ${what} ${shown}${hint}${end}Allowed: ${
    known.join(", ") || "none"
  }`;
}

/** Edits (insert, delete, replace, swap of adjacent characters) needed. */
function editDistance(a: string, b: string): number {
  let twoRowsBack: number[] = [];
  let previousRow = Array.from({ length: b.length + 1 }, (_, j) => j);
  for (let i = 1; i <= a.length; i++) {
    const row = [i];
    for (let j = 1; j <= b.length; j++) {
      const same = a[i - 1] === b[j - 1] ? 0 : 1;
      let cost = Math.min(at(previousRow, j) + 1, at(row, j - 1) + 1);
      cost = Math.min(cost, at(previousRow, j - 1) + same);
      const swapped = i > 1 && j > 1 && a[i - 1] === b[j - 2] &&
        a[i - 2] === b[j - 1];
      if (swapped) cost = Math.min(cost, at(twoRowsBack, j - 2) + 1);
      row.push(cost);
    }
    [twoRowsBack, previousRow] = [previousRow, row];
  }
  return at(previousRow, b.length);
}

function at(row: readonly number[], i: number): number {
  return row[i] ?? Infinity;
}
