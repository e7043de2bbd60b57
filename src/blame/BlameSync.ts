import type * as commonTypes from '../common/Types.js';
import type * as blameTable from './BlameTable.js';
import * as toldNews from './ToldNews.js';
import type * as types from './Types.js';

/** Rate at which all VMs together send their news to a coordinator that they find at the same time. */
const GROUP_BYTES_PER_MS = 5000;

/** What the spread of the news over time depends on. */
export interface IBlameSpread {
  readonly clock: commonTypes.IClock;
  readonly random: commonTypes.IRandom;
  /** Number of VMs that send their news. */
  readonly vmCount: () => number;
}

/**
 * Exchanges what an entry VM knows of crashes with the coordinator. A coordinator starts without such knowledge and gets
 * it from the entry VMs that find it, each at a random part of the time that the news of all take. What the coordinator
 * has told meanwhile is left out.
 */
export class BlameSync implements commonTypes.IDisposable {
  private readonly subscriptions: readonly commonTypes.IDisposable[];

  private readonly told: toldNews.ToldNews | undefined;

  private timer: commonTypes.IDisposable | undefined;

  /** Starts the exchange over the link; without a spread the news are sent at once. */
  constructor(
    private readonly table: blameTable.BlameTable,
    private readonly link: types.IBlameLink,
    private readonly spread?: IBlameSpread,
  ) {
    this.told = spread && new toldNews.ToldNews(spread.clock);
    this.subscriptions = [
      link.onCoordinatorFound(() => this.greet()),
      link.onBlame((news) => {
        this.told?.record(news);
        table.merge(news);
      }),
      table.onChange(({ news, isOwn }) => {
        if (isOwn) {
          link.sendBlame(news);
        }
      }),
    ];
  }

  /** @inheritdoc */
  dispose(): void {
    this.timer?.dispose();
    this.subscriptions.forEach((subscription) => subscription.dispose());
  }

  private greet(): void {
    this.timer?.dispose();
    this.told?.clear();
    const { spread, told, table, link } = this;
    if (spread === undefined || told === undefined) {
      link.sendBlame(table.news);
      return;
    }
    const { clock, random, vmCount } = spread;
    const bytes = JSON.stringify(table.news).length;
    const delay = (random.next() * vmCount() * bytes) / GROUP_BYTES_PER_MS;
    this.timer = clock.setTimer(delay, () => link.sendBlame(told.without(table.news)));
  }
}
