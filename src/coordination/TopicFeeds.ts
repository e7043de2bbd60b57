import type * as routing from '../routing/Types.js';
import type * as feedTraffic from './FeedTraffic.js';
import type * as pacedSender from './PacedSender.js';
import * as sharedText from './SharedText.js';
import * as topicFeed from './TopicFeed.js';
import type * as types from './Types.js';

/** The configuration and the endpoint list of a control VM, sent to entry VMs. */
export class TopicFeeds {
  private readonly document: topicFeed.TopicFeed;

  private readonly endpoints: topicFeed.TopicFeed;

  private list: routing.IEndpointList | undefined;

  /** Sends through `sender` and counts in `traffic`. */
  constructor(
    private readonly sender: pacedSender.PacedSender,
    private readonly traffic: feedTraffic.FeedTraffic,
  ) {
    this.document = this.createFeed('document', (version, text) => ({
      kind: 'document',
      version,
      text,
    }));
    this.endpoints = this.createFeed('endpoints', (revision, text) => ({
      kind: 'endpoints',
      list: { revision, endpoints: JSON.parse(text) as readonly routing.IEndpoint[] },
    }));
  }

  /** Sends the configuration to a VM. */
  sendDocument(receiver: topicFeed.ITopicReceiver, version: number, text: string): void {
    this.document.set(version, text);
    this.document.send(receiver);
  }

  /** Sends the endpoint list to a VM. */
  sendEndpoints(receiver: topicFeed.ITopicReceiver, list: routing.IEndpointList): void {
    if (list !== this.list) {
      this.list = list;
      this.endpoints.set(list.revision, JSON.stringify(list.endpoints));
    }
    this.endpoints.send(receiver);
  }

  private createFeed(
    topic: types.FeedTopic,
    toWholeMessage: (version: number, text: string) => types.DownMessage,
  ): topicFeed.TopicFeed {
    const onEncoded = (kind: types.DownMessage['kind']): void => this.traffic.recordEncoded(kind);
    const text = new sharedText.SharedText({ topic, toWholeMessage, onEncoded });
    const priority = topic === 'document' ? 'high' : 'medium';
    return new topicFeed.TopicFeed(topic, text, this.sender, priority);
  }
}
