import * as control from '#wire/control.js';
import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import * as messages from '../../common/wire/Messages.js';
import * as ledger from './Ledger.js';
import * as ledgerKeys from './LedgerKeys.js';
import * as limits from './Limits.js';
import * as referenceLedger from './testing/ReferenceLedger.js';

const { describe, expect, it } = vitest;
const { DecisionState, LedgerState, OutcomeState } = control.wire;
const START = 1_700_000_000_000;
const HOUR_MS = 3_600_000;

function timedKey(time: number): string {
  const hex = time.toString(16).padStart(12, '0');
  return `${hex.slice(0, 8)}-${hex.slice(8)}-7abc-8def-0123456789ab`;
}

const KEYS = ['17/1', '17/2', timedKey(START), timedKey(START + 30 * HOUR_MS)];
const TARGET = { workspace: 'acme', target: 'register/postings' };
const OUTCOMES = {
  finished: OutcomeState.OUTCOME_FINISHED,
  'not-run': OutcomeState.OUTCOME_NOT_RUN,
  unknown: OutcomeState.OUTCOME_UNKNOWN,
} as const;

const key = fastCheck.constantFrom(...KEYS);
const token = fastCheck.constantFrom('t1', 't2', 't3', 't4');
const owner = fastCheck.constantFrom('e1', 'e2');
const pause = fastCheck.constantFrom(0, 1000, 61_000, HOUR_MS, 13 * HOUR_MS, 25 * HOUR_MS);
const operation = fastCheck.record({
  pause,
  act: fastCheck.oneof(
    {
      weight: 4,
      arbitrary: fastCheck.record({
        do: fastCheck.constant('begin' as const),
        key,
        token,
        owner,
        body: fastCheck.constantFrom('b1', 'b1', 'b2'),
      }),
    },
    {
      weight: 4,
      arbitrary: fastCheck.record({
        do: fastCheck.constant('finish' as const),
        key,
        token,
        end: fastCheck.constantFrom('finished' as const, 'not-run' as const, 'unknown' as const),
      }),
    },
    fastCheck.record({ do: fastCheck.constant('resolve' as const), key, ran: fastCheck.boolean() }),
    fastCheck.record({ do: fastCheck.constant('expire-owner' as const), owner }),
    fastCheck.record({ do: fastCheck.constant('expire' as const) }),
    fastCheck.record({ do: fastCheck.constant('forget' as const) }),
    fastCheck.record({ do: fastCheck.constant('restart' as const) }),
  ),
});

function restart(state: ledger.Ledger, groups: number): ledger.Ledger {
  const bytes = messages.encode(LedgerState, state.snapshot());
  const next = new ledger.Ledger(groups);
  next.restore(messages.decode(LedgerState, bytes));
  return next;
}

/** Makes the token specific to its key, since a token is never used for two keys. */
function withKeySpecificToken(act: Operation['act']): Operation['act'] {
  const own = 'token' in act ? { token: `${act.token} of ${act.key}` } : {};
  return { ...act, ...own } as Operation['act'];
}

type Operation = typeof operation extends fastCheck.Arbitrary<infer T> ? T : never;

/** Runs operations on the ledger and on the reference model and compares the results. */
class LedgerComparison {
  private state: ledger.Ledger;

  private readonly reference = new referenceLedger.ReferenceLedger();

  private time = START;

  constructor(private readonly groups: number) {
    this.state = new ledger.Ledger(groups);
  }

  /** Runs one generated operation; returns the decision on a begin, or `DONE` for an accepted resolve. */
  run({ pause: pauseMs, act: generated }: Operation): string | undefined {
    const act = withKeySpecificToken(generated);
    this.time += pauseMs;
    const { state, reference, time } = this;
    switch (act.do) {
      case 'begin':
        return this.begin(act.key, act.token, act.owner, act.body);
      case 'finish': {
        const answer = { status: 201, contentType: '', body: new Uint8Array(3) };
        const fullAnswer = { ...answer, omitted: false, size: 3, sha256: '' };
        const req = {
          ...TARGET,
          key: act.key,
          token: act.token,
          outcome: OUTCOMES[act.end],
          answer: fullAnswer,
        };
        const done = state.finish(req, time) === undefined;
        expect(done).toBe(reference.finish(act.key, act.token, act.end, time));
        return undefined;
      }
      case 'resolve': {
        const id = ledgerKeys.recordId({ ...TARGET, key: act.key });
        const done = state.resolve({ id, ran: act.ran, reason: '' }, 'ann', time) === undefined;
        expect(done).toBe(reference.resolve(act.key, act.ran, time));
        return done ? 'DONE' : undefined;
      }
      case 'expire-owner':
        state.expireOwner(act.owner, time);
        reference.expireOwner(act.owner, time);
        return undefined;
      case 'expire':
        state.expire(time);
        reference.expire(time);
        return undefined;
      case 'forget':
        state.forget(time);
        reference.forget(time);
        return undefined;
      default:
        this.state = restart(state, this.groups);
        return undefined;
    }
  }

  private begin(name: string, by: string, incarnation: string, bodyHash: string): string {
    const req = {
      ...TARGET,
      key: name,
      token: by,
      incarnation,
      bodyHash,
      createdAt: 0,
      requestId: 'r',
    };
    const { state } = this.state.begin(req, this.time);
    const decision = DecisionState[state ?? 0]?.replace('DECISION_', '');
    expect(decision).toBe(this.reference.begin(name, bodyHash, by, incarnation, this.time));
    return decision ?? '';
  }
}

describe('Ledger', () => {
  it.each([1, 4])('decides as the reference model does, with %i groups', (groups) => {
    fastCheck.assert(
      fastCheck.property(fastCheck.array(operation, { maxLength: 80 }), (operations) => {
        const comparison = new LedgerComparison(groups);
        operations.forEach((each) => comparison.run(each));
      }),
      { seed: 4, numRuns: 400 },
    );
  });

  it('grants a key to one token until its owner or an operator releases it', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.array(operation, { maxLength: 80 }), (operations) => {
        const comparison = new LedgerComparison(1);
        const holders = new Map<string, string>();
        const ended = new Set<string>();
        operations.forEach((each) => {
          const act = withKeySpecificToken(each.act);
          const decision = comparison.run(each);
          if (act.do === 'begin' && decision === 'GRANTED') {
            expect([undefined, act.token]).toContain(holders.get(act.key));
            holders.set(act.key, act.token);
          }
          const own = act.do === 'finish' && holders.get(act.key) === act.token;
          if (own && act.end === 'finished') {
            ended.add(act.key);
          }
          const released = own && act.end === 'not-run';
          const declared = act.do === 'resolve' && !act.ran && decision === 'DONE';
          if ((released || declared) && !ended.has(act.key)) {
            holders.delete(act.key);
          }
          if (act.do === 'resolve' && act.ran && decision === 'DONE') {
            ended.add(act.key);
          }
          if (act.do === 'forget') {
            KEYS.slice(0, 2)
              .filter((name) => ended.delete(name))
              .forEach((name) => holders.delete(name));
          }
        });
      }),
      { seed: 5, numRuns: 400 },
    );
  });

  it('keeps only the digest of large answers and bounds the size of all answers', () => {
    const state = new ledger.Ledger();
    const count = Math.ceil(limits.LIMITS.totalAnswerBytes / limits.LIMITS.maxAnswerBytes) + 10;
    const body = new Uint8Array(limits.LIMITS.maxAnswerBytes);
    const post = (at: number, bytes: Uint8Array): void => {
      const named = { ...TARGET, key: `k${at}`, token: `t${at}` };
      state.begin(
        { ...named, bodyHash: 'b', createdAt: 0, requestId: 'r', incarnation: 'e' },
        START,
      );
      const answer = {
        status: 200,
        contentType: '',
        body: bytes,
        omitted: false,
        size: 0,
        sha256: '',
      };
      state.finish({ ...named, outcome: OutcomeState.OUTCOME_FINISHED, answer }, START + at);
    };
    for (let at = 0; at < count; at += 1) {
      post(at, body);
    }
    post(count, new Uint8Array(body.length + 1));
    const answerOf = (at: number) =>
      state.get(ledgerKeys.recordId({ ...TARGET, key: `k${at}` }))?.answer;
    expect(answerOf(0)).toMatchObject({ omitted: true, size: body.length });
    expect(answerOf(count - 1)?.body.length).toBe(body.length);
    expect(answerOf(count)).toMatchObject({ omitted: true, size: body.length + 1 });
    const kept = state
      .list(count + 1, () => true)
      .reduce((sum, item) => sum + (item.answer?.body.length ?? 0), 0);
    expect(kept).toBeLessThanOrEqual(limits.LIMITS.totalAnswerBytes);
  });
});
