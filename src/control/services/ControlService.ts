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

/** Dependencies of the gRPC service. */
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

/** The gRPC service that entry VMs and operators call. */
export class ControlService {
  private watcherCount = 0;

  /** Handles calls with the given services. */
  constructor(private readonly dependencies: IControlServiceDependencies) {}

  /** Adds the methods of the service to `server`. */
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
        await this.dependencies.log.readBarrier();
        return { ended: await this.dependencies.waits.wait(req) };
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
    const { operators, commands } = this.dependencies;
    const bytes = await commands.execute(req, operators.identify(bearerTokenOf(metadata)));
    return messages.asProperties(messages.decode(control.wire.Result, bytes));
  }

  private query(
    req: messages.Message<control.wire.Query.$Properties>,
    metadata: grpc.Metadata,
  ): Promise<control.wire.Answer.$Properties> {
    this.requireOperator(metadata);
    return this.dependencies.queries.query(req);
  }

  private async heartbeat(
    req: messages.Message<control.wire.HeartbeatRequest.$Properties>,
  ): Promise<control.wire.HeartbeatResponse.$Properties> {
    const { log, leases, state } = this.dependencies;
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
    this.dependencies.logService.info('membership-change-requested', {
      operator: operator.name,
      action,
      id,
    });
    const change = { action, id, ...(address === '' ? {} : { address }) };
    await this.dependencies.log.changeMembership(change);
    return {};
  }

  private requireOperator(metadata: grpc.Metadata): services.ICaller {
    const caller = this.dependencies.operators.identify(bearerTokenOf(metadata));
    if (!caller.operator) {
      throw new notAuthorized.NotAuthorizedError('this call needs an operator key');
    }
    return caller;
  }

  /** Serves one watcher until its call closes or this replica is no longer the leader. */
  private async watch(call: WatchCall): Promise<void> {
    const closed = new AbortController();
    call.on('cancelled', () => closed.abort());
    call.on('close', () => closed.abort());
    call.on('error', () => closed.abort());
    const leadership = this.dependencies.log.onLeadership((leads) => {
      if (!leads) {
        closed.abort();
      }
    });
    this.watcherCount += 1;
    try {
      if (this.watcherCount > MAX_WATCHERS) {
        throw new RangeError('too many watchers');
      }
      await this.dependencies.log.readBarrier();
      const send = (update: control.wire.WatchUpdate.$Properties): Promise<void> =>
        writeUpdate(call, update, closed.signal);
      await this.dependencies.watches.run(call.request.version, { send, signal: closed.signal });
      call.emit('error', {
        code: grpc.status.UNAVAILABLE,
        details: 'this replica is no longer the leader',
      });
    } catch (err) {
      call.emit('error', statusCodes.toStatus(err));
    } finally {
      this.watcherCount -= 1;
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

function bearerTokenOf(metadata: grpc.Metadata): string | undefined {
  const [value] = metadata.get('authorization');
  return value === undefined ? undefined : String(value).replace(/^Bearer /, '');
}

function writeUpdate(
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
