import type * as refusals from '../Refusals.js';
import type * as types from '../Types.js';

/** Time after the deadline within which an answer may still be in transit. */
const TRANSIT_GRACE_MS = 50;
/** Time after which a leaving endpoint must not get new calls. */
const LEAVING_GRACE_MS = 3_000;

interface IRequestTrace {
  readonly deadline: types.Millis;
  readonly expected: string;
  readonly atMostOnce: boolean;
  runs: number;
  ends: number;
}

/** Outcome of a request as seen by its caller. */
export interface IRequestEnd {
  readonly id: string;
  readonly at: types.Millis;
  /** The complete answer; absent when the request failed. */
  readonly answer?: string;
  /** Run state in the error response; absent when there was an answer. */
  readonly run?: refusals.RunState;
}

/**
 * Checks the invariants of the request path during a test run: 1 no result is lost, duplicated or delivered to
 * another request, 2 callers get complete answers or errors, 3 a `not-run` request did not run, 4 at-most-once
 * calls run at most once, 5 a leaving endpoint gets no new calls, 7 no request outlives its deadline and no
 * queue exceeds its bound. Violations are collected as messages that start with the number of the invariant.
 */
export class InvariantChecker {
  private readonly messages: string[] = [];

  private readonly requests = new Map<string, IRequestTrace>();

  private readonly leaving = new Map<string, types.Millis>();

  /** Records that a caller sent a request; its answer, if any, must equal `expected`. */
  expect(id: string, expected: string, deadline: types.Millis, atMostOnce = false): void {
    this.requests.set(id, { deadline, expected, atMostOnce, runs: 0, ends: 0 });
  }

  /** Records that an endpoint received a call of the request. */
  observeRun(id: string, endpoint: string, at: types.Millis): void {
    const trace = this.requests.get(id);
    if (!trace) {
      this.messages.push(`1: ${endpoint} ran ${id}, which no caller sent`);
      return;
    }
    trace.runs += 1;
    if (trace.atMostOnce && trace.runs > 1) {
      this.messages.push(`4: ${id} reached endpoints ${trace.runs} times`);
    }
    const leavingSince = this.leaving.get(endpoint);
    if (leavingSince !== undefined && at > leavingSince + LEAVING_GRACE_MS) {
      this.messages.push(
        `5: ${endpoint} got ${id} ${at - leavingSince} ms after it began to leave`,
      );
    }
  }

  /** Records that an endpoint started to leave. */
  observeLeaving(endpoint: string, at: types.Millis): void {
    this.leaving.set(endpoint, at);
  }

  /** Records the outcome of a request at its caller. */
  observeEnd(end: IRequestEnd): void {
    const trace = this.requests.get(end.id);
    if (!trace) {
      this.messages.push(`1: ${end.id} ended, but no caller sent it`);
      return;
    }
    trace.ends += 1;
    if (trace.ends > 1) {
      this.messages.push(`1: ${end.id} ended ${trace.ends} times`);
    }
    if (end.answer !== undefined && end.answer !== trace.expected) {
      this.messages.push(`2: ${end.id} got ${end.answer} instead of ${trace.expected}`);
    }
    if (end.run === 'not-run' && trace.runs > 0) {
      this.messages.push(`3: ${end.id} was reported as not-run but ran ${trace.runs} times`);
    }
    if (end.at > trace.deadline + TRANSIT_GRACE_MS) {
      this.messages.push(`7: ${end.id} ended ${end.at - trace.deadline} ms past its deadline`);
    }
  }

  /** Records the size of a queue or map. */
  observeSize(name: string, size: number, bound: number): void {
    if (size > bound) {
      this.messages.push(`7: ${name} holds ${size}, its bound is ${bound}`);
    }
  }

  /** Returns all violations so far, including every request that has not ended. */
  violations(): readonly string[] {
    const lost = [...this.requests]
      .filter(([, trace]) => trace.ends === 0)
      .map(([id]) => `1: ${id} never ended`);
    return [...this.messages, ...lost];
  }
}
