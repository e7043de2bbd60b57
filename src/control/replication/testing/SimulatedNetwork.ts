import type * as rateLimitedLink from '../../../common/testing/RateLimitedLink.js';
import type * as commonTypes from '../../../common/Types.js';
import type * as types from '../Types.js';
import * as wireCodec from '../WireCodec.js';

interface INode {
  readonly clock: commonTypes.IClock;
  handler: types.PeerHandler | undefined;
}

/** Simulated network with seeded delay (and thus reordering), loss, duplication and cut links. */
export class SimulatedNetwork {
  /** Ratio of messages that are lost, from 0 to 1. */
  lossRatio = 0;

  /** Ratio of requests that are delivered twice, from 0 to 1. */
  duplicateRatio = 0;

  /** Maximum delay of one message. */
  maxDelayMs = 4;

  /** Number of delivered requests by kind; pre-votes count as `pre-vote`, not as `vote`. */
  readonly delivered = new Map<string, number>();

  private readonly nodes = new Map<string, INode>();

  private readonly cutLinks = new Set<string>();

  private readonly links = new Map<string, rateLimitedLink.RateLimitedLink>();

  /** Draws delays and faults from `random`. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly random: commonTypes.IRandom,
  ) {}

  /** Returns the transport of the process at `address`, which runs on `clock`. */
  connect(address: string, clock: commonTypes.IClock): types.IPeerTransport {
    const node: INode = { clock, handler: undefined };
    this.nodes.set(address, node);
    const dispose = () => {
      node.handler = undefined;
    };
    return {
      call: (to, req, timeout) => this.call(address, to, req, timeout),
      serve: (handler) => {
        node.handler = handler;
        return { dispose };
      },
      dispose,
    };
  }

  /** Drops all messages from one address to another, in this direction only. */
  cut(from: string, to: string): void {
    this.cutLinks.add(`${from}>${to}`);
  }

  /** Drops all messages between an address and the others, in both directions. */
  isolate(address: string): void {
    [...this.nodes.keys()]
      .filter((other) => other !== address)
      .forEach((other) => {
        this.cut(address, other);
        this.cut(other, address);
      });
  }

  /** Sends the messages of an address over a link of limited rate, which others may share. */
  limit(from: string, link: rateLimitedLink.RateLimitedLink): void {
    this.links.set(from, link);
  }

  /** Restores all cut links. */
  heal(): void {
    this.cutLinks.clear();
  }

  private call(
    from: string,
    to: string,
    req: types.IPeerRequest,
    timeout: commonTypes.Millis,
  ): Promise<types.IPeerResponse> {
    const sender = this.nodes.get(from) as INode;
    const bytes = wireCodec.encodeRequest(req);
    return new Promise((resolve, reject) => {
      const timer = sender.clock.setTimer(timeout, () => reject(new Error('timeout')));
      const answer = (res: Uint8Array) => {
        sender.clock.setTimer(0, () => {
          timer.dispose();
          resolve(wireCodec.decodeResponse(res));
        });
      };
      const copies = this.random.next() < this.duplicateRatio ? 2 : 1;
      for (let copy = 0; copy < copies; copy++) {
        this.transmit(from, to, bytes.length, () => this.deliver(from, to, bytes, answer));
      }
    });
  }

  private deliver(from: string, to: string, bytes: Uint8Array, answer: (res: Uint8Array) => void) {
    const node = this.nodes.get(to);
    node?.clock.setTimer(0, () => {
      const { handler } = node;
      if (handler === undefined || this.nodes.get(to) !== node) {
        return;
      }
      const req = wireCodec.decodeRequest(bytes);
      this.countDelivered(req.body);
      handler(req).then(
        (res) => {
          const answerBytes = wireCodec.encodeResponse(res);
          this.transmit(to, from, answerBytes.length, () => answer(answerBytes));
        },
        () => {},
      );
    });
  }

  private countDelivered(body: types.PeerRequestBody): void {
    const kind = body.kind === 'vote' && body.pre ? 'pre-vote' : body.kind;
    this.delivered.set(kind, (this.delivered.get(kind) ?? 0) + 1);
  }

  /** Sends a message over the link of its sender, if that is limited. */
  private transmit(from: string, to: string, bytes: number, arrive: () => void): void {
    const link = this.links.get(from);
    if (link === undefined) {
      this.deliverLater(from, to, arrive);
    } else {
      link.send(bytes, () => this.deliverLater(from, to, arrive));
    }
  }

  /** Delivers a message after a random delay, unless it is lost or the link is cut at delivery time. */
  private deliverLater(from: string, to: string, arrive: () => void): void {
    if (this.random.next() < this.lossRatio) {
      return;
    }
    this.clock.setTimer(this.random.nextInt(this.maxDelayMs + 1), () => {
      if (!this.cutLinks.has(`${from}>${to}`)) {
        arrive();
      }
    });
  }
}
