import type * as decisionOptions from '../DecisionOptions.js';

/**
 * Retry budget of one pool, a token bucket: each request adds a fraction of a token (the budget ratio), and
 * each retry or hedge takes one token. The number of attempts is therefore at most
 * (1 + ratio) × requests + burst, even when every endpoint fails.
 */
export class RetryBudget {
  private balance: number;

  /** Starts with a full bucket of `budgetBurst` tokens. */
  constructor(private readonly options: decisionOptions.IRetryOptions) {
    this.balance = options.budgetBurst;
  }

  /** Tokens in the bucket; may be fractional. */
  get available(): number {
    return this.balance;
  }

  /** Adds `budgetRatio` tokens for one request, up to the burst. */
  earn(): void {
    this.balance = Math.min(this.options.budgetBurst, this.balance + this.options.budgetRatio);
  }

  /** Takes one token; returns false when less than one is left. */
  trySpend(): boolean {
    if (this.balance < 1) {
      return false;
    }
    this.balance -= 1;
    return true;
  }
}
