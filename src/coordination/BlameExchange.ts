import type * as blameTable from '../blame/BlameTable.js';
import type * as blame from '../blame/Types.js';
import type * as commonTypes from '../common/Types.js';
import type * as types from './Types.js';

/** The part of the feed that concerns crashes: passes what this control VM and each entry VM know to all entry VMs. */
export class BlameExchange implements commonTypes.IDisposable {
  private readonly subscription: commonTypes.IDisposable;

  /** `broadcast` sends to all connected entry VMs. */
  constructor(
    private readonly table: blameTable.BlameTable,
    broadcast: (message: types.DownMessage) => void,
  ) {
    this.subscription = table.onChange(({ news }) => broadcast({ kind: 'blame', news }));
  }

  /** Sends all knowledge to an entry VM that has connected. */
  greet(send: (message: types.DownMessage) => void): void {
    const { news } = this.table;
    if (news.crashes.length > 0) {
      send({ kind: 'blame', news });
    }
  }

  /** Adopts the knowledge of an entry VM. */
  handleNews(news: blame.IBlameNews): void {
    this.table.merge(news);
  }

  /** @inheritdoc */
  dispose(): void {
    this.subscription.dispose();
  }
}
