import type * as commonTypes from '../../../common/Types.js';
import type * as types from '../Types.js';

/** Transport for a group with a single replica: every call rejects, and no request ever arrives. */
export class SingleReplicaTransport implements types.IPeerTransport {
  /** @inheritdoc */
  call(): Promise<types.IPeerResponse> {
    return Promise.reject(new Error('there are no peers'));
  }

  /** @inheritdoc */
  serve(): commonTypes.IDisposable {
    return { dispose: () => {} };
  }

  /** @inheritdoc */
  dispose(): void {}
}
