/** Converts field names between snake_case in TOML and camelCase in the program; values are not changed. */

function mapFields(value: unknown, rename: (field: string) => string): unknown {
  if (Array.isArray(value)) {
    return value.map((item) => mapFields(item, rename));
  }
  if (typeof value !== 'object' || value === null) {
    return value;
  }
  const entries = Object.entries(value).filter(([, item]) => item !== undefined);
  return Object.fromEntries(entries.map(([key, item]) => [rename(key), mapFields(item, rename)]));
}

/**
 * Returns a copy of plain data with every field name in camelCase; undefined fields are left out.
 *
 * @example
 * toCamelCase({ deadline_ms: 5 }); // { deadlineMs: 5 }
 */
export function toCamelCase(value: unknown): unknown {
  return mapFields(value, (field) =>
    field.replace(/_([a-z])/g, (match, letter: string) => letter.toUpperCase()),
  );
}

/**
 * Converts one field name from camelCase to snake_case.
 *
 * @example
 * snakeName('dataDir'); // 'data_dir'
 */
export function snakeName(field: string): string {
  return field.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}

/**
 * Returns a copy of plain data with every field name in snake_case; undefined fields are left out.
 *
 * @example
 * toSnakeCase({ deadlineMs: 5 }); // { deadline_ms: 5 }
 */
export function toSnakeCase(value: unknown): unknown {
  return mapFields(value, snakeName);
}
