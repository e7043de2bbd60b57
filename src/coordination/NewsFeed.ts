import * as agedNews from '../blame/AgedNews.js';
import type * as blame from '../blame/Types.js';
import type * as commonTypes from '../common/Types.js';
import * as feedCodec from './FeedCodec.js';
import type * as feedTraffic from './FeedTraffic.js';
import type * as pacedSender from './PacedSender.js';
import type * as sessionStream from './SessionStream.js';

/** VMs that get news within this time share the encoded message, whose ages are then low by as much. */
const SHARED_FOR_MS = 50;

interface IEncodedNews {
  readonly at: commonTypes.Millis;
  readonly bytes: Buffer;
}

/** Sends news on crashes to entry VMs at a limited rate, after configurations and endpoint lists. */
export class NewsFeed {
  /** Sends through `sender` and counts in `traffic`. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly sender: pacedSender.PacedSender,
    private readonly traffic: feedTraffic.FeedTraffic,
  ) {}

  /** Sends news to the VMs of these streams; VMs that get them at the same time share the encoded message. */
  send(streams: Iterable<sessionStream.SessionStream>, news: blame.IBlameNews): void {
    const madeAt = this.clock.monotonic();
    let encoded: IEncodedNews | undefined;
    const encode = (): Buffer => {
      const at = this.clock.monotonic();
      if (encoded === undefined || at - encoded.at > SHARED_FOR_MS) {
        const aged = agedNews.ageNews(news, at - madeAt);
        encoded = { at, bytes: feedCodec.encode({ kind: 'blame', news: aged }) };
        this.traffic.recordEncoded('blame');
      }
      return encoded.bytes;
    };
    [...streams].forEach((stream) => {
      this.sender.add(() => (stream.isEnded ? 0 : sendTo(stream, encode())), 'low');
    });
  }
}

function sendTo(stream: sessionStream.SessionStream, bytes: Buffer): number {
  stream.writeEncoded('blame', bytes);
  return bytes.length;
}
