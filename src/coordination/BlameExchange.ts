import type * as blameTable from '../blame/BlameTable.js';
import * as quarantineGate from '../blame/QuarantineGate.js';
import type * as blame from '../blame/Types.js';
import type * as commonTypes from '../common/Types.js';
import type * as types from './Types.js';

/** Time after which a request may come again that a control VM without coordination has refused. */
const NOT_COORDINATING_RETRY_MS = 1000;

/** Message with news on crashes to an entry VM. */
export type NewsMessage = types.DownMessage & { readonly kind: 'blame' };

/**
 * The part of the feed that concerns crashes: passes what this control VM and each entry VM know to all entry VMs, and
 * admits trials of requests that need no plan.
 */
export class BlameExchange implements commonTypes.IDisposable {
  private readonly subscription: commonTypes.IDisposable;

  private readonly gate: quarantineGate.QuarantineGate;

  /** `broadcast` sends to all connected entry VMs. */
  constructor(
    private readonly table: blameTable.BlameTable,
    clock: commonTypes.IClock,
    broadcast: (message: NewsMessage) => void,
  ) {
    this.gate = new quarantineGate.QuarantineGate(table, clock, true);
    this.subscription = table.onChange(({ news }) => broadcast({ kind: 'blame', news }));
  }

  /** Sends all knowledge to an entry VM that has connected. */
  greet(send: (message: NewsMessage) => void): void {
    const { news } = this.table;
    if (news.crashes.length > 0) {
      send({ kind: 'blame', news });
    }
  }

  /** Adopts the knowledge of an entry VM. */
  handleNews(news: blame.IBlameNews): void {
    this.table.merge(news);
  }

  /** Answers the request of an entry VM for a trial. */
  handleTrial(
    vm: string,
    { trialId, traits }: types.UpMessage & { readonly kind: 'trial' },
    isCoordinator: boolean,
    send: (message: types.DownMessage) => void,
  ): void {
    const refusal = isCoordinator
      ? this.gate.admit(`${vm}/${trialId}`, traits)
      : { trait: traits.request, retryAfter: NOT_COORDINATING_RETRY_MS };
    send({ kind: 'trial', answer: { trialId, refusal } });
  }

  /** @inheritdoc */
  dispose(): void {
    this.subscription.dispose();
  }
}
