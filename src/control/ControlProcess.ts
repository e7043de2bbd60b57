import * as grpc from '@grpc/grpc-js';
import * as disposableStore from '../common/DisposableStore.js';
import type * as loggers from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import * as rpc from '../common/wire/Rpc.js';
import * as tls from '../common/wire/Tls.js';
import type * as controlSettings from './ControlSettings.js';
import * as nodeDisk from './log/NodeDisk.js';
import * as httpEngineClient from './orders/HttpEngineClient.js';
import * as orderService from './orders/OrderService.js';
import * as orderTypes from './orders/Types.js';
import * as grpcPeerTransport from './replication/GrpcPeerTransport.js';
import * as replica from './replication/Replica.js';
import * as commandService from './services/CommandService.js';
import * as controlService from './services/ControlService.js';
import * as leaseService from './services/LeaseService.js';
import * as ledgerWaitService from './services/LedgerWaitService.js';
import * as operatorService from './services/OperatorService.js';
import * as queryService from './services/QueryService.js';
import * as watchService from './services/WatchService.js';
import * as controlState from './state/ControlState.js';
import type * as controlTypes from './Types.js';

/** Dependencies of a control process. */
export interface IControlDependencies {
  readonly clock: commonTypes.IClock;
  readonly random: commonTypes.IRandom;
  readonly logService: loggers.ILogService;
  readonly metrics: loggers.IMetricsService;
}

/**
 * One replica of the control group: its replicated log, its state and the gRPC services on top of them.
 *
 * @example
 * const process = await ControlProcess.start(cfg, dependencies);
 * process.dispose();
 */
export class ControlProcess implements commonTypes.IDisposable {
  private constructor(
    private readonly disposables: disposableStore.DisposableStore,
    /** The replicated log. */
    readonly log: controlTypes.IReplicatedLog,
    /** The state machine to which the log applies its commands. */
    readonly state: controlState.ControlState,
    /** `ip:port` on which the process listens. */
    readonly address: string,
  ) {}

  /**
   * Opens the data folder, binds the listen address and joins the group.
   *
   * @throws FindingsError for invalid TLS files; the errors of Replica.open; Error when the address cannot be bound.
   */
  static async start(
    cfg: controlSettings.ControlSettings,
    dependencies: IControlDependencies,
  ): Promise<ControlProcess> {
    const disposables = new disposableStore.DisposableStore();
    try {
      return await open(disposables, cfg, dependencies);
    } catch (err) {
      disposables.dispose();
      throw err;
    }

    async function open(
      store: disposableStore.DisposableStore,
      settings: controlSettings.ControlSettings,
      deps: IControlDependencies,
    ): Promise<ControlProcess> {
      const server = new grpc.Server(rpc.SERVER_OPTIONS);
      store.add({ dispose: () => server.forceShutdown() });
      const state = new controlState.ControlState();
      const log = store.add(await openLog(server, state, settings, deps));
      serve(server, state, log, store, settings, deps);
      const address = await bind(server, settings);
      return new ControlProcess(store, log, state, address);
    }
  }

  /** @inheritdoc */
  dispose(): void {
    this.disposables.dispose();
  }
}

function openLog(
  server: grpc.Server,
  stateMachine: controlTypes.IStateMachine,
  cfg: controlSettings.ControlSettings,
  dependencies: IControlDependencies,
): Promise<replica.Replica> {
  const { clock, random, logService } = dependencies;
  const transport = new grpcPeerTransport.GrpcPeerTransport(
    server,
    tls.channelCredentials(cfg.tls),
    clock,
  );
  const options = { id: cfg.id, dataDir: cfg.dataDir, members: cfg.peers };
  const disk = new nodeDisk.NodeDisk();
  return replica.Replica.open(options, {
    clock,
    random,
    logService,
    stateMachine,
    transport,
    disk,
  });
}

function serve(
  server: grpc.Server,
  state: controlState.ControlState,
  log: controlTypes.IReplicatedLog,
  disposables: disposableStore.DisposableStore,
  cfg: controlSettings.ControlSettings,
  dependencies: IControlDependencies,
): void {
  const { clock, logService } = dependencies;
  const commands = new commandService.CommandService(log, clock);
  const leases = disposables.add(
    new leaseService.LeaseService(log, state, commands, clock, logService),
  );
  const waits = disposables.add(new ledgerWaitService.LedgerWaitService(state, clock));
  const queries = new queryService.QueryService(log, state, leases);
  const watches = new watchService.WatchService(state);
  const operators = new operatorService.OperatorService(cfg.operators);
  const engines = new httpEngineClient.HttpEngineClient();
  const options = { ...orderTypes.DEFAULT_ORDER_OPTIONS, ...cfg.orders };
  const orderDependencies = { log, state, commands, engines, clock, logService };
  disposables.add(new orderService.OrderService(orderDependencies, options));
  const controlDependencies = {
    log,
    state,
    operators,
    commands,
    queries,
    leases,
    waits,
    watches,
    logService,
  };
  new controlService.ControlService(controlDependencies).register(server);
}

function bind(server: grpc.Server, cfg: controlSettings.ControlSettings): Promise<string> {
  return new Promise((resolve, reject) => {
    server.bindAsync(cfg.listen, tls.serverCredentials(cfg.tls), (err, port) => {
      if (err !== null) {
        reject(err);
        return;
      }
      resolve(cfg.listen.replace(/:\d+$/, `:${port}`));
    });
  });
}
