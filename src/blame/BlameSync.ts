import type * as commonTypes from '../common/Types.js';
import type * as blameTable from './BlameTable.js';
import type * as types from './Types.js';

/**
 * Exchanges what an entry VM knows of crashes with the coordinator. A coordinator starts without such knowledge and gets
 * it from all entry VMs that find it.
 */
export class BlameSync implements commonTypes.IDisposable {
  private readonly subscriptions: readonly commonTypes.IDisposable[];

  /** Starts the exchange over the link. */
  constructor(table: blameTable.BlameTable, link: types.IBlameLink) {
    this.subscriptions = [
      link.onCoordinatorFound(() => link.sendBlame(table.news)),
      link.onBlame((news) => table.merge(news)),
      table.onChange(({ news, isOwn }) => {
        if (isOwn) {
          link.sendBlame(news);
        }
      }),
    ];
  }

  /** @inheritdoc */
  dispose(): void {
    this.subscriptions.forEach((subscription) => subscription.dispose());
  }
}
