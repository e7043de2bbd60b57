import type * as rateLimitTable from './RateLimitTable.js';
import type * as types from './Types.js';

/** Passes what responses say about their endpoints on to the tables that hold it. */
export class EndpointSignals implements types.ICallObserver {
  /** `rates` holds rate limits, `rejections` the rejections in a second that endpoints bear. */
  constructor(
    private readonly rates: rateLimitTable.RateLimitTable,
    private readonly rejections: rateLimitTable.RateLimitTable,
    private readonly cold: types.IColdObserver,
  ) {}

  /** @inheritdoc */
  recordCall(endpointId: string, kind: types.CallKind): void {
    this.rates.recordCall(endpointId, kind);
    this.rejections.recordCall(endpointId, kind);
  }

  /** @inheritdoc */
  recordStatement(statement: types.IRateLimitStatement): void {
    this.rates.recordStatement(statement);
  }

  /** @inheritdoc */
  recordRejectionLimit(statement: types.IRateLimitStatement): void {
    this.rejections.recordStatement(statement);
  }

  /** @inheritdoc */
  recordCold(statement: types.IColdStatement): void {
    this.cold.recordAnswered(statement);
  }

  /** @inheritdoc */
  recordCrash(endpointId: string): void {
    this.cold.recordCrash(endpointId);
  }
}
