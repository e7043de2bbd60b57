import type * as types from '../Types.js';

/** Keeps the calls and statements that it is told of. */
export class RecordingCallObserver implements types.ICallObserver {
  readonly calls: { readonly endpointId: string; readonly kind: types.CallKind }[] = [];

  readonly statements: types.IRateLimitStatement[] = [];

  readonly rejectionLimits: types.IRateLimitStatement[] = [];

  readonly cold: types.IColdStatement[] = [];

  readonly crashes: string[] = [];

  /** @inheritdoc */
  recordCall(endpointId: string, kind: types.CallKind): void {
    this.calls.push({ endpointId, kind });
  }

  /** @inheritdoc */
  recordStatement(statement: types.IRateLimitStatement): void {
    this.statements.push(statement);
  }

  /** @inheritdoc */
  recordRejectionLimit(statement: types.IRateLimitStatement): void {
    this.rejectionLimits.push(statement);
  }

  /** @inheritdoc */
  recordCold(statement: types.IColdStatement): void {
    this.cold.push(statement);
  }

  /** @inheritdoc */
  recordCrash(endpointId: string): void {
    this.crashes.push(endpointId);
  }
}
