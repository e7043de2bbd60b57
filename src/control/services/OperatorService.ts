import * as keyHash from '../../common/KeyHash.js';
import * as notAuthorized from './NotAuthorizedError.js';
import type * as services from './Services.js';

/** An operator as configured: name and hash of the key. */
export interface IOperator extends keyHash.IStoredKey {
  readonly name: string;
}

const LOCAL_OPERATOR: services.ICaller = { name: 'local', operator: true };
const ANONYMOUS: services.ICaller = { name: '', operator: false };

/** Identifies operators by the key sent with a call. */
export class OperatorService implements services.IOperatorService {
  /** With an empty list, which the settings allow on loopback only, every caller is an operator. */
  constructor(private readonly operators: readonly IOperator[]) {}

  /** @inheritdoc */
  identify(key: string | undefined): services.ICaller {
    if (this.operators.length === 0) {
      return LOCAL_OPERATOR;
    }
    if (key === undefined) {
      return ANONYMOUS;
    }
    const parts = keyHash.parseKey(key);
    const operator = this.operators.find(({ id }) => id === parts?.id);
    if (
      parts === undefined ||
      operator === undefined ||
      !keyHash.verifyKey(operator, parts.secret)
    ) {
      throw new notAuthorized.NotAuthorizedError('the operator key is unknown');
    }
    return { name: operator.name, operator: true };
  }
}
