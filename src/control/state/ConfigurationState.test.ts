import * as control from '#wire/control.js';
import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import * as messages from '../../common/wire/Messages.js';
import * as configurationState from './ConfigurationState.js';

const { describe, expect, it } = vitest;
const WireState = control.wire.ConfigurationState;

interface IExpectedResult {
  readonly accepted: boolean;
  readonly version: number;
  readonly winner: string;
}

/** Reference model without bounds: all accepted texts and all results. */
class ReferenceConfiguration {
  readonly texts: { readonly text: string; readonly operator: string }[] = [];

  private readonly answers = new Map<
    string,
    { readonly text: string; readonly answer: IExpectedResult }
  >();

  apply(
    id: string,
    base: number,
    text: string,
    operator: string,
  ): IExpectedResult | 'submission-reused' {
    const known = this.answers.get(id);
    if (known !== undefined) {
      return known.text === text ? known.answer : 'submission-reused';
    }
    const accepted = base === this.texts.length;
    if (accepted) {
      this.texts.push({ text, operator });
    }
    const winner = this.texts[base] ?? this.texts.at(-1);
    const answer = { accepted, version: this.texts.length, winner: winner?.operator ?? '' };
    this.answers.set(id, { text, answer });
    return answer;
  }
}

const submission = fastCheck.record({
  id: fastCheck.constantFrom('s1', 's2', 's3', 's4', 's5', 's6'),
  behind: fastCheck.constantFrom(0, 0, 0, 1, 2, -1),
  text: fastCheck.constantFrom('a', 'b', 'c'),
  operator: fastCheck.constantFrom('ann', 'bo'),
  restart: fastCheck.boolean(),
});

describe('ConfigurationState', () => {
  it('gives the same results as the reference model, and the version never decreases', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.array(submission, { maxLength: 30 }), (submissions) => {
        let state = new configurationState.ConfigurationState();
        const reference = new ReferenceConfiguration();
        submissions.forEach(({ id, behind, text, operator, restart }, at) => {
          const base = Math.max(0, reference.texts.length - behind);
          const before = state.version;
          const result = state.apply({ submissionId: id, baseVersion: base, text }, operator, at);
          const answer = reference.apply(id, base, text, operator);
          const { accepted, version, winner } = result as IExpectedResult;
          expect(result === 'submission-reused' ? result : { accepted, version, winner }).toEqual(
            answer,
          );
          expect(state.version).toBeGreaterThanOrEqual(before);
          expect(state.current?.text).toBe(reference.texts.at(-1)?.text);
          if (restart) {
            const bytes = messages.encode(WireState, state.snapshot());
            state = new configurationState.ConfigurationState();
            state.restore(messages.decode(WireState, bytes));
          }
        });
      }),
      { seed: 6, numRuns: 400 },
    );
  });

  it('keeps the text in force and the texts of the newest versions', () => {
    const state = new configurationState.ConfigurationState();
    for (let at = 0; at < 200; at += 1) {
      state.apply({ submissionId: `s${at}`, baseVersion: at, text: `text ${at}` }, 'ann', at);
    }
    expect(state.current?.text).toBe('text 199');
    expect(state.get(160)?.text).toBe('text 159');
    expect(state.get(100)).toMatchObject({ version: 100, text: '' });
  });
});
