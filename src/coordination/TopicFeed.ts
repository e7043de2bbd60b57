import type * as pacedSender from './PacedSender.js';
import type * as sessionStream from './SessionStream.js';
import type * as sharedText from './SharedText.js';
import type * as types from './Types.js';

/** An entry VM that gets the texts of topics. */
export interface ITopicReceiver {
  readonly stream: sessionStream.SessionStream;
  /** Digests of the texts that the VM holds; undefined if it takes no updates. */
  readonly held: Map<types.FeedTopic, string> | undefined;
}

/** Sends the text of one topic to entry VMs; a VM whose turn has not come yet gets only the newest text. */
export class TopicFeed {
  private readonly waiting = new Set<ITopicReceiver>();

  /** Sends `text` through `sender` with the given priority. */
  constructor(
    private readonly topic: types.FeedTopic,
    private readonly text: sharedText.SharedText,
    private readonly sender: pacedSender.PacedSender,
    private readonly priority: pacedSender.SendPriority,
  ) {}

  /** Replaces the text; `send` sends it. */
  set(version: number, text: string): void {
    this.text.set(version, text);
  }

  /** Sends the text to a VM once the rate allows it. */
  send(receiver: ITopicReceiver): void {
    if (!this.waiting.has(receiver)) {
      this.waiting.add(receiver);
      this.sender.add(() => this.sendNow(receiver), this.priority);
    }
  }

  private sendNow(receiver: ITopicReceiver): number {
    const { stream, held } = receiver;
    this.waiting.delete(receiver);
    if (stream.isEnded) {
      return 0;
    }
    const { kind, bytes } = this.text.messageFor(held && (held.get(this.topic) ?? ''));
    held?.set(this.topic, this.text.digest);
    stream.writeEncoded(kind, bytes);
    return bytes.length;
  }
}
