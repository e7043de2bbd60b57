/** Parses the load that endpoints report in a header of their answers. */
import type * as entryTypes from '../Types.js';

/** Name of the load report header, in lower case. */
export const LOAD_HEADER = 'x-load-report';

/**
 * Parses a report such as `running=3 waiting=1 cache=0.42 age=120`, with the age in milliseconds; undefined when
 * the report is absent or malformed.
 *
 * @example
 * parseLoadReport('running=3 waiting=1 cache=0.42 age=120');
 * // { running: 3, waiting: 1, cacheUsed: 0.42, age: 120 }
 */
export function parseLoadReport(text: string | undefined): entryTypes.ILoadReport | undefined {
  const match = /^running=(\d+) waiting=(\d+) cache=(\d+(?:\.\d+)?) age=(\d+)$/.exec(text ?? '');
  if (!match) {
    return undefined;
  }
  return {
    running: Number(match[1]),
    waiting: Number(match[2]),
    cacheUsed: Number(match[3]),
    age: Number(match[4]),
  };
}
