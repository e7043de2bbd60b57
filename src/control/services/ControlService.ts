import * as grpc from '@grpc/grpc-js';
import * as control from '#wire/control.js';
import type * as loggers from '../../common/services/Services.js';
import * as controlMethods from '../../common/wire/ControlMethods.js';
import * as messages from '../../common/wire/Messages.js';
import * as rpc from '../../common/wire/Rpc.js';
import * as limits from '../state/Limits.js';
import type * as controlState from '../state/ControlState.js';
import type * as controlTypes from '../Types.js';
import type * as ledgerWaitService from './LedgerWaitService.js';
import * as notAuthorized from './NotAuthorizedError.js';
import type * as services from './Services.js';
import * as statusCodes from './StatusCodes.js';
import type * as watchService from './WatchService.js';

const { METHODS } = controlMethods;
const MAX_WATCHERS = 2048;

/** What the calls are served from. */
export interface IControlServiceDependencies {
  readonly log: controlTypes.IReplicatedLog;
  readonly state: controlState.ControlState;
  readonly operators: services.IOperatorService;
  readonly commands: services.ICommandService;
  readonly queries: services.IQueryService;
  readonly leases: services.ILeaseService;
  readonly waits: ledgerWaitService.LedgerWaitService;
  readonly watches: watchService.WatchService;
  readonly logService: loggers.ILogService;
}

type Handler<Req, Res> = (req: messages.Message<Req>, metadata: grpc.Metadata) => Promise<Res>;

type WatchCall = grpc.ServerWritableStream<
  messages.Message<control.wire.WatchRequest.$Properties>,
  control.wire.WatchUpdate.$Properties
>;

/** Serves entry VMs and operators over gRPC. */
export class ControlService {
  private watchers = 0;

  /** Serves from `needs`. */
  constructor(private readonly needs: IControlServiceDependencies) {}

  /** Adds the methods to a server. */
  register(server: grpc.Server): void {
    const definition = Object.fromEntries(
      Object.entries(METHODS).map(([name, method]) => [
        name,
        rpc.defineMethod(method as rpc.IMethod<unknown, unknown>),
      ]),
    );
    server.addService(definition, {
      execute: unary(METHODS.execute, (req, metadata) => this.execute(req, metadata)),
      query: unary(METHODS.query, (req, metadata) => this.query(req, metadata)),
      heartbeat: unary(METHODS.heartbeat, (req) => this.heartbeat(req)),
      ledgerWait: unary(METHODS.ledgerWait, async (req) => {
        await this.needs.log.readBarrier();
        return { ended: await this.needs.waits.wait(req) };
      }),
      changeMembership: unary(METHODS.changeMembership, (req, metadata) =>
        this.changeMembership(req, metadata),
      ),
      watch: (call: WatchCall) => {
        void this.watch(call);
      },
    });
  }

  private async execute(
    req: messages.Message<control.wire.Command.$Properties>,
    metadata: grpc.Metadata,
  ): Promise<control.wire.Result.$Properties> {
    const { operators, commands } = this.needs;
    const bytes = await commands.execute(req, operators.identify(keyOf(metadata)));
    return messages.asProperties(messages.decode(control.wire.Result, bytes));
  }

  private query(
    req: messages.Message<control.wire.Query.$Properties>,
    metadata: grpc.Metadata,
  ): Promise<control.wire.Answer.$Properties> {
    this.requireOperator(metadata);
    return this.needs.queries.query(req);
  }

  private async heartbeat(
    req: messages.Message<control.wire.HeartbeatRequest.$Properties>,
  ): Promise<control.wire.HeartbeatResponse.$Properties> {
    const { log, leases, state } = this.needs;
    if (log.status().role !== 'leader') {
      await log.readBarrier();
    }
    await leases.renew(req);
    return {
      currentVersion: state.configuration.version,
      lease: limits.LIMITS.entryLeaseMs,
    };
  }

  private async changeMembership(
    req: messages.Message<control.wire.MembershipRequest.$Properties>,
    metadata: grpc.Metadata,
  ): Promise<control.wire.MembershipResponse.$Properties> {
    const operator = this.requireOperator(metadata);
    const { id, address } = req;
    const action = req.action as controlTypes.IMembershipChange['action'];
    this.needs.logService.info('membership-asked', { operator: operator.name, action, id });
    const change = { action, id, ...(address === '' ? {} : { address }) };
    await this.needs.log.changeMembership(change);
    return {};
  }

  private requireOperator(metadata: grpc.Metadata): services.ICaller {
    const caller = this.needs.operators.identify(keyOf(metadata));
    if (!caller.operator) {
      throw new notAuthorized.NotAuthorizedError('this needs an operator key');
    }
    return caller;
  }

  /** One task for each watcher: ends when the watcher goes or this replica no longer leads. */
  private async watch(call: WatchCall): Promise<void> {
    const gone = new AbortController();
    call.on('cancelled', () => gone.abort());
    call.on('close', () => gone.abort());
    call.on('error', () => gone.abort());
    const leadership = this.needs.log.onLeadership((leads) => {
      if (!leads) {
        gone.abort();
      }
    });
    this.watchers += 1;
    try {
      if (this.watchers > MAX_WATCHERS) {
        throw new RangeError('too many watchers');
      }
      await this.needs.log.readBarrier();
      const send = (update: control.wire.WatchUpdate.$Properties): Promise<void> =>
        sendOn(call, update, gone.signal);
      await this.needs.watches.run(call.request.version, { send, signal: gone.signal });
      call.emit('error', { code: grpc.status.UNAVAILABLE, details: 'this replica leads no more' });
    } catch (err) {
      call.emit('error', statusCodes.toStatus(err));
    } finally {
      this.watchers -= 1;
      leadership.dispose();
    }
  }
}

function unary<Req, Res>(
  method: rpc.IMethod<Req, Res>,
  handler: Handler<Req, Res>,
): grpc.handleUnaryCall<messages.Message<Req>, Res> {
  return (call, callback) => {
    Promise.resolve()
      .then(() => handler(call.request, call.metadata))
      .then(
        (res) => callback(null, res),
        (err: unknown) => callback(statusCodes.toStatus(err)),
      );
  };
}

function keyOf(metadata: grpc.Metadata): string | undefined {
  const [value] = metadata.get('authorization');
  return value === undefined ? undefined : String(value).replace(/^Bearer /, '');
}

function sendOn(
  call: WatchCall,
  update: control.wire.WatchUpdate.$Properties,
  signal: AbortSignal,
): Promise<void> {
  if (call.write(update)) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    call.once('drain', resolve);
    signal.addEventListener('abort', () => resolve(), { once: true });
  });
}
