import * as held from '#held/held.js';
import * as grpc from '@grpc/grpc-js';
import * as emitter from '../../common/Emitter.js';
import type * as commonTypes from '../../common/Types.js';
import * as rpc from '../../common/wire/Rpc.js';
import type * as messages from '../../common/wire/Messages.js';
import type * as configurationFile from '../services/ConfigurationFile.js';
import type * as configurationService from '../services/ConfigurationService.js';

const wire = held.anvildeck.held;
const POLL_MS = 1_000;
const CALL_TIMEOUT_MS = 2_000;

/** Asks a peer for the configuration in force there. */
const FETCH: rpc.IMethod<
  held.anvildeck.held.HeldRequest.$Properties,
  held.anvildeck.held.HeldAnswer.$Properties
> = {
  path: '/anvildeck.held.Configurations/Fetch',
  request: wire.HeldRequest,
  response: wire.HeldAnswer,
  responseStream: false,
};

type Held = configurationFile.IHeldConfiguration;
type Answer = messages.Message<held.anvildeck.held.HeldAnswer.$Properties>;

/** What this VM holds itself. */
export interface IOwnConfiguration {
  /** Newest configuration held; undefined before the first. */
  readonly held: Held | undefined;
  /** Whether it is known to be current, or the newest among the peers. */
  readonly ready: boolean;
}

/**
 * The configurations of the other entry VMs, for a start while the control group is away: the newest
 * counts once more than half of the peers have answered, so that one VM that was cut off is not believed alone.
 */
export class PeerConfigurations
  implements configurationService.IPeerConfigurations, commonTypes.IDisposable
{
  private readonly clients: readonly grpc.Client[];

  private readonly changes = new emitter.Emitter<void>();

  private readonly stop = new AbortController();

  private found: Held | undefined;

  private own: IOwnConfiguration | undefined;

  /** @inheritdoc */
  readonly onChange = this.changes.event;

  /** Serves peers on `server`; asks those at `addresses`. */
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
      { fetch: rpc.defineMethod(FETCH) },
      {
        fetch: (
          call: grpc.ServerUnaryCall<
            messages.Message<held.anvildeck.held.HeldRequest.$Properties>,
            held.anvildeck.held.HeldAnswer.$Properties
          >,
          callback: grpc.sendUnaryData<held.anvildeck.held.HeldAnswer.$Properties>,
        ) => callback(null, this.answer(call.request.version)),
      },
    );
  }

  /** Starts to ask peers, until this VM is ready. */
  start(own: IOwnConfiguration): void {
    this.own = own;
    void this.run(own);
  }

  /** @inheritdoc */
  newest(): Held | undefined {
    return this.found;
  }

  /** @inheritdoc */
  dispose(): void {
    this.stop.abort();
    this.clients.forEach((client) => client.close());
    this.changes.dispose();
  }

  private answer(askerHolds: number): held.anvildeck.held.HeldAnswer.$Properties {
    const { own } = this;
    if (!own?.ready || !own.held) {
      return { version: 0, text: '' };
    }
    const { version, text } = own.held;
    return { version, text: version > askerHolds ? text : '' };
  }

  private async run(own: IOwnConfiguration): Promise<void> {
    while (!own.ready && !this.stop.signal.aborted) {
      await this.ask(own);
      await this.clock.sleep(POLL_MS, this.stop.signal).catch(() => {});
    }
  }

  private async ask(own: IOwnConfiguration): Promise<void> {
    const mine = own.held;
    const request = { version: mine?.version ?? 0 };
    const options = { timeout: CALL_TIMEOUT_MS, signal: this.stop.signal };
    const answers = await Promise.allSettled(
      this.clients.map((client) => rpc.callUnary(client, FETCH, request, options)),
    );
    const known = answers.flatMap((answer) => knownVersion(answer));
    if (known.length * 2 <= this.clients.length) {
      return;
    }
    const newest = known.reduce((best, answer) => (answer.version > best.version ? answer : best));
    const { version, text } = newest;
    this.found = mine && mine.version >= version ? mine : { version, text };
    this.changes.fire();
  }
}

/** The answer of a peer that knows a current configuration; nothing for one that starts itself. */
function knownVersion(result: PromiseSettledResult<Answer>): readonly Answer[] {
  return result.status === 'fulfilled' && result.value.version > 0 ? [result.value] : [];
}
