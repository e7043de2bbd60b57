import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import * as decisionOptions from '../DecisionOptions.js';
import * as retryBudget from './RetryBudget.js';

const SEED = 7;

vitest.describe('RetryBudget', () => {
  vitest.it('never spends more tokens than a plain count of the earned ones', () => {
    const { retry } = decisionOptions.DEFAULT_DECISION_OPTIONS;
    fastCheck.assert(
      fastCheck.property(fastCheck.array(fastCheck.boolean(), { maxLength: 500 }), (steps) => {
        const budget = new retryBudget.RetryBudget(retry);
        let requests = 0;
        let spent = 0;
        steps.forEach((isRequest) => {
          if (isRequest) {
            budget.earn();
            requests += 1;
          } else if (budget.trySpend()) {
            spent += 1;
          }
          const earned = retry.budgetBurst + requests * retry.budgetRatio;
          vitest.expect(spent).toBeLessThanOrEqual(earned + 1e-9);
        });
      }),
      { seed: SEED },
    );
  });
});
