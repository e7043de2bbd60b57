/** Report spans (a quarter, month or day of UTC) and their division into steps. */
import type * as commonTypes from '../common/Types.js';
import type * as types from './Types.js';

/** An hour in milliseconds. */
export const HOUR_MS = 60 * 60 * 1000;

/** A day in milliseconds. */
export const DAY_MS = 24 * HOUR_MS;

const WEEK_MS = 7 * DAY_MS;
const MONTHS_PER_QUARTER = 3;
/** Weeks begin on Mondays; the Unix epoch was a Thursday, four days before the first Monday. */
const MONDAY_OFFSET_MS = 4 * DAY_MS;

function makeMonthsSpan(label: string, year: number, month: number, months: number): types.ISpan {
  return { label, from: Date.UTC(year, month), to: Date.UTC(year, month + months) };
}

/**
 * Parses a quarter, month or day of UTC; undefined when the text is not a valid one.
 *
 * @example
 * parseSpan('2026-Q4'); // 1 October to 1 January
 * parseSpan('2026-12');
 * parseSpan('2026-12-03');
 */
export function parseSpan(text: string): types.ISpan | undefined {
  const quarter = /^(\d{4})-Q([1-4])$/i.exec(text);
  if (quarter) {
    const month = (Number(quarter[2]) - 1) * MONTHS_PER_QUARTER;
    return makeMonthsSpan(text.toUpperCase(), Number(quarter[1]), month, MONTHS_PER_QUARTER);
  }
  const month = /^(\d{4})-(0[1-9]|1[0-2])$/.exec(text);
  if (month) {
    return makeMonthsSpan(text, Number(month[1]), Number(month[2]) - 1, 1);
  }
  const from = /^\d{4}-\d\d-\d\d$/.test(text) ? Date.parse(`${text}T00:00:00Z`) : NaN;
  const isValidDay = Number.isFinite(from) && formatDay(from) === text;
  return isValidDay ? { label: text, from, to: from + DAY_MS } : undefined;
}

/**
 * Formats the UTC day of a time as YYYY-MM-DD.
 *
 * @example
 * formatDay(0); // '1970-01-01'
 */
export function formatDay(time: commonTypes.Millis): string {
  return new Date(time).toISOString().slice(0, 10);
}

/**
 * Returns the quarter, month or day of UTC that contains a time; undefined when `period` is none of these.
 *
 * @example
 * currentSpan('quarter', Date.UTC(2026, 11, 3)); // 2026-Q4
 */
export function currentSpan(period: string, time: commonTypes.Millis): types.ISpan | undefined {
  const day = formatDay(time);
  const [year, month] = [day.slice(0, 4), day.slice(0, 7)];
  const quarter = Math.ceil(Number(day.slice(5, 7)) / MONTHS_PER_QUARTER);
  const text = { quarter: `${year}-Q${quarter}`, month, day }[period];
  return text === undefined ? undefined : parseSpan(text);
}

/** Start of the step after `time`: the next hour for a span of one day, otherwise the next Monday. */
function nextStepStart(span: types.ISpan, time: commonTypes.Millis): commonTypes.Millis {
  if (span.to - span.from <= DAY_MS) {
    return time + HOUR_MS;
  }
  const week = Math.floor((time - MONDAY_OFFSET_MS) / WEEK_MS) + 1;
  return week * WEEK_MS + MONDAY_OFFSET_MS;
}

function stepLabel(span: types.ISpan, from: commonTypes.Millis): string {
  const isDay = span.to - span.from <= DAY_MS;
  return isDay ? new Date(from).toISOString().slice(11, 16) : formatDay(from);
}

/** Label and bounds of one step: `from` inclusive, `to` exclusive, in milliseconds since the epoch. */
export type StepBounds = Pick<types.IStep, 'label' | 'from' | 'to'>;

/**
 * Divides a span into steps: hours for a day, otherwise weeks from Monday, cut at the ends of the span. A day is
 * one step if its rows were merged into periods of a day.
 *
 * @param longestPeriod - Longest period of the rows, in milliseconds.
 *
 * @example
 * stepsOf(parseSpan('2026-Q4')!, HOUR_MS); // 14 steps
 */
export function stepsOf(
  span: types.ISpan,
  longestPeriod: commonTypes.Millis,
): readonly StepBounds[] {
  if (longestPeriod >= span.to - span.from) {
    return [{ label: formatDay(span.from), from: span.from, to: span.to }];
  }
  const steps: StepBounds[] = [];
  for (let { from } = span; from < span.to; from = nextStepStart(span, from)) {
    const to = Math.min(nextStepStart(span, from), span.to);
    steps.push({ label: stepLabel(span, from), from, to });
  }
  return steps;
}
