import * as held from '#held/held.js';
import * as grpc from '@grpc/grpc-js';
import * as emitter from '../../common/Emitter.js';
import type * as commonTypes from '../../common/Types.js';
import * as rpc from '../../common/wire/Rpc.js';
import type * as messages from '../../common/wire/Messages.js';
import type * as configurationFile from '../services/ConfigurationFile.js';
import type * as configurationService from '../services/ConfigurationService.js';

const wire = held.anvildeck.held;
const POLL_INTERVAL_MS = 1_000;
const CALL_TIMEOUT_MS = 2_000;

/** RPC that fetches the configuration in force at a peer. */
const FETCH_METHOD: rpc.IMethod<
  held.anvildeck.held.HeldRequest.$Properties,
  held.anvildeck.held.HeldAnswer.$Properties
> = {
  path: '/anvildeck.held.Configurations/Fetch',
  request: wire.HeldRequest,
  response: wire.HeldAnswer,
  responseStream: false,
};

type Configuration = configurationFile.IHeldConfiguration;
type Answer = messages.Message<held.anvildeck.held.HeldAnswer.$Properties>;

/** Configuration state of this VM; the values change while the process runs. */
export interface ILocalConfiguration {
  /** Newest configuration stored on this VM; undefined before the first configuration. */
  readonly held: Configuration | undefined;
  /** Whether that configuration is confirmed to be current, or to be the newest among the peers. */
  readonly ready: boolean;
}

/**
 * Fetches the configurations of the other entry VMs, so that this VM can start while the control group is
 * unavailable. The newest one is used only after more than half of the peers have answered, so that a single
 * partitioned VM cannot supply an outdated configuration.
 */
export class PeerConfigurations
  implements configurationService.IPeerConfigurations, commonTypes.IDisposable
{
  private readonly clients: readonly grpc.Client[];

  private readonly changes = new emitter.Emitter<void>();

  private readonly stop = new AbortController();

  private newestConfirmed: Configuration | undefined;

  private local: ILocalConfiguration | undefined;

  /** @inheritdoc */
  readonly onChange = this.changes.event;

  /** Registers the fetch RPC on `server` and creates clients for the peers at `addresses` (`ip:port`). */
  constructor(
    server: grpc.Server,
    credentials: grpc.ChannelCredentials,
    addresses: readonly string[],
    private readonly clock: commonTypes.IClock,
  ) {
    this.clients = addresses.map(
      (address) => new grpc.Client(address, credentials, rpc.CHANNEL_OPTIONS),
    );
    server.addService(
      { fetch: rpc.defineMethod(FETCH_METHOD) },
      {
        fetch: (
          call: grpc.ServerUnaryCall<
            messages.Message<held.anvildeck.held.HeldRequest.$Properties>,
            held.anvildeck.held.HeldAnswer.$Properties
          >,
          callback: grpc.sendUnaryData<held.anvildeck.held.HeldAnswer.$Properties>,
        ) => callback(null, this.answerFetch(call.request.version)),
      },
    );
  }

  /** Starts polling the peers; polling stops once this VM is ready. */
  start(local: ILocalConfiguration): void {
    this.local = local;
    void this.pollUntilReady(local);
  }

  /** @inheritdoc */
  newest(): Configuration | undefined {
    return this.newestConfirmed;
  }

  /** @inheritdoc */
  dispose(): void {
    this.stop.abort();
    this.clients.forEach((client) => client.close());
    this.changes.dispose();
  }

  private answerFetch(requesterVersion: number): held.anvildeck.held.HeldAnswer.$Properties {
    const { local } = this;
    if (!local?.ready || !local.held) {
      return { version: 0, text: '' };
    }
    const { version, text } = local.held;
    return { version, text: version > requesterVersion ? text : '' };
  }

  private async pollUntilReady(local: ILocalConfiguration): Promise<void> {
    while (!local.ready && !this.stop.signal.aborted) {
      await this.pollPeers(local);
      await this.clock.sleep(POLL_INTERVAL_MS, this.stop.signal).catch(() => {});
    }
  }

  private async pollPeers(local: ILocalConfiguration): Promise<void> {
    const localConfiguration = local.held;
    const request = { version: localConfiguration?.version ?? 0 };
    const options = { timeout: CALL_TIMEOUT_MS, signal: this.stop.signal };
    const results = await Promise.allSettled(
      this.clients.map((client) => rpc.callUnary(client, FETCH_METHOD, request, options)),
    );
    const answers = results.flatMap((result) => currentAnswer(result));
    if (answers.length * 2 <= this.clients.length) {
      return;
    }
    const newest = answers.reduce((best, next) => (next.version > best.version ? next : best));
    const { version, text } = newest;
    this.newestConfirmed =
      localConfiguration && localConfiguration.version >= version
        ? localConfiguration
        : { version, text };
    this.changes.fire();
  }
}

/** Returns the answer of a peer whose configuration is current; empty if the call failed or the peer is not ready. */
function currentAnswer(result: PromiseSettledResult<Answer>): readonly Answer[] {
  return result.status === 'fulfilled' && result.value.version > 0 ? [result.value] : [];
}
