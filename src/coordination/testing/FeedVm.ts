import * as feedCodec from '../FeedCodec.js';
import type * as sessionStream from '../SessionStream.js';
import type * as types from '../Types.js';
import * as updateReceiver from '../UpdateReceiver.js';
import * as recordingLog from '../../common/testing/RecordingLogService.js';
import type * as rateLimitedLink from '../../common/testing/RateLimitedLink.js';
import type * as routing from '../../routing/Types.js';
import type * as zoneTypes from '../../zones/Types.js';

type Listener = (message: types.UpMessage) => void;

/** An entry VM that is connected to a feed server, over the link of the server. */
export class FeedVm {
  /** Newest configuration that arrived. */
  version = 0;

  /** Zones out of service that arrived last. */
  closedZones: zoneTypes.IClosedZones | undefined;

  /** Newest endpoint list that arrived, as JSON. */
  endpoints = '';

  /** Endpoint lists that control VMs requested from it. */
  sentLists = 0;

  /** Arrived messages by kind. */
  readonly received = new Map<string, number>();

  /** Called with the outcome of each plan. */
  onPlanned: (planId: string, outcome: types.PlanOutcome) => void = () => {};

  private readonly listeners: Listener[] = [];

  private onEnd: () => void = () => {};

  private readonly updates = new updateReceiver.UpdateReceiver(
    new recordingLog.RecordingLogService(),
    (topic) => this.send({ kind: 'resend', topic }),
  );

  /** Creates a VM that is not connected; an earlier build takes no updates. */
  constructor(
    readonly name: string,
    private readonly isEarlierBuild = false,
  ) {}

  /** The server's side of a new connection, whose messages arrive over `link`. */
  openStream(link: rateLimitedLink.RateLimitedLink): sessionStream.ServerStream {
    this.listeners.length = 0;
    const stream = {
      on: (event: string, listener: Listener) => {
        if (event === 'data') {
          this.listeners.push(listener);
        } else if (event === 'end') {
          this.onEnd = listener as () => void;
        }
      },
      write: (bytes: Buffer, onAccepted: () => void) => {
        link.send(bytes.length, () => {
          onAccepted();
          this.receive(feedCodec.decodeDown(bytes));
        });
      },
      end: () => {},
    };
    return stream as unknown as sessionStream.ServerStream;
  }

  /** Sends the first message of a connection. */
  greet(): void {
    const held = this.isEarlierBuild ? {} : { held: this.updates.digests };
    this.send({ kind: 'hello', vm: this.name, version: this.version, ...held });
  }

  /** Ends the connection. */
  disconnect(): void {
    this.listeners.length = 0;
    this.onEnd();
  }

  /** Sends a message to the server. */
  send(message: types.UpMessage): void {
    this.listeners.forEach((listener) => listener(message));
  }

  /** Replaces the endpoint list that updates are applied to, as if an update had been missed. */
  spoilEndpoints(): void {
    this.updates.set('endpoints', '[]');
  }

  private receive(message: types.DownMessage): void {
    this.received.set(message.kind, (this.received.get(message.kind) ?? 0) + 1);
    if (message.kind === 'state') {
      this.receiveState(message);
    } else if (message.kind === 'update') {
      this.receiveUpdate(message);
    } else if (message.kind === 'planned') {
      this.onPlanned(message.planId, message.outcome);
    } else if (message.kind === 'zones') {
      this.closedZones = message.closed;
    } else if (message.kind === 'document') {
      this.version = message.version;
    } else if (message.kind === 'endpoints') {
      this.endpoints = JSON.stringify(message.list.endpoints);
    }
  }

  private receiveState({ wantsEndpoints }: types.DownMessage & { kind: 'state' }): void {
    if (wantsEndpoints && this.endpoints !== '') {
      this.sentLists += 1;
      const endpoints = JSON.parse(this.endpoints) as readonly routing.IEndpoint[];
      this.send({ kind: 'endpoints', list: { revision: 1, endpoints } });
    }
  }

  private receiveUpdate(update: types.IUpdate): void {
    const text = this.updates.apply(update);
    if (text !== undefined && update.topic === 'document') {
      this.version = update.version;
    } else if (text !== undefined) {
      this.endpoints = text;
    }
  }
}
