import type * as commonTypes from '../common/Types.js';
import type * as coldEndpoints from '../ratelimit/ColdEndpoints.js';
import type * as rateLimitTable from '../ratelimit/RateLimitTable.js';
import type * as rateLimits from '../ratelimit/Types.js';
import type * as types from './Types.js';

/** Sends a message to one entry VM or to all of them. */
export type SendFn = (message: types.DownMessage) => void;

/** Cold endpoints that become known within this time are sent in one message. */
const COLD_BATCH_MS = 20;

/** The endpoints that are cold, and the clock by which news of them are collected. */
export interface IColdExchange {
  readonly endpoints: coldEndpoints.ColdEndpoints;
  readonly clock: commonTypes.IClock;
}

/**
 * The part of the feed that concerns rate limits and cold endpoints: passes what one VM has seen to all others, and
 * grants permits while this control VM coordinates.
 */
export class RateLimitExchange implements commonTypes.IDisposable {
  private readonly subscriptions: commonTypes.IDisposable[];

  /** Cold endpoints that entry VMs have not been told of yet. */
  private readonly coldNews = new Set<string>();

  /** `broadcast` sends to all connected entry VMs; `kind` is that of the messages with limits. */
  constructor(
    private readonly table: rateLimitTable.RateLimitTable,
    private readonly limiter: rateLimits.IEndpointRateLimiter,
    private readonly broadcast: SendFn,
    private readonly kind: 'limits' | 'rejection-limits' = 'limits',
    private readonly cold?: IColdExchange,
  ) {
    this.subscriptions = [
      table.onChange(({ endpointId }) => {
        const observation = table.observationOf(endpointId);
        if (observation !== undefined) {
          broadcast({ kind, observations: [observation] });
        }
      }),
    ];
    if (cold !== undefined) {
      const follow = cold.endpoints.onChange(({ endpointId }) => this.queueCold(endpointId, cold));
      this.subscriptions.push(follow);
    }
  }

  /** Sends all limits to an entry VM that has connected. */
  greet(send: SendFn): void {
    const { observations } = this.table;
    if (observations.length > 0) {
      send({ kind: this.kind, observations });
    }
    const statements = this.cold?.endpoints.statements ?? [];
    if (statements.length > 0) {
      send({ kind: 'cold', statements });
    }
  }

  /** Adopts what an entry VM knows of cold endpoints. */
  handleCold(statements: readonly rateLimits.IColdStatement[]): void {
    this.cold?.endpoints.merge(statements);
  }

  /** Adopts the observations of an entry VM, and returns to it those that are outdated. */
  handleLimits(
    vm: string,
    received: readonly rateLimits.IRateLimitObservation[],
    send: SendFn,
  ): void {
    const observations = this.table.merge(received, vm);
    if (observations.length > 0) {
      send({ kind: this.kind, observations });
    }
  }

  /** Answers a request for a permit. */
  handlePermit(permitId: number, endpointId: string, isCoordinator: boolean, send: SendFn): void {
    const isGranted = isCoordinator && this.limiter.take(endpointId);
    const delay = this.limiter.delayOf(endpointId);
    send({ kind: 'permit', answer: { permitId, isGranted, delay } });
  }

  /** @inheritdoc */
  dispose(): void {
    this.subscriptions.forEach((subscription) => subscription.dispose());
  }

  private queueCold(endpointId: string, { endpoints, clock }: IColdExchange): void {
    this.coldNews.add(endpointId);
    if (this.coldNews.size > 1) {
      return;
    }
    clock.setTimer(COLD_BATCH_MS, () => {
      const statements = [...this.coldNews].flatMap((id) => endpoints.statementOf(id) ?? []);
      this.coldNews.clear();
      if (statements.length > 0) {
        this.broadcast({ kind: 'cold', statements });
      }
    });
  }
}
