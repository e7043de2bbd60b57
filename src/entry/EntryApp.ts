import * as disposableStore from '../common/DisposableStore.js';
import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';
import * as requestRecorder from './RequestRecorder.js';
import * as callerServer from './http/CallerServer.js';
import type * as httpTypes from './http/Types.js';
import * as atMostOnceRunner from './pipeline/AtMostOnceRunner.js';
import * as pipelineRunner from './pipeline/PipelineRunner.js';
import * as serviceRunner from './pipeline/ServiceRunner.js';
import * as requestService from './RequestService.js';
import type * as services from './services/Services.js';
import type * as entryTypes from './Types.js';

/** Services and components that the entry application uses. */
export interface IEntryDependencies {
  readonly clock: commonTypes.IClock;
  readonly log: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
  readonly configuration: services.IConfigurationService;
  readonly ledger: services.ILedgerService;
  readonly quarantine: services.IQuarantineService;
  readonly accounting: services.IAccountingService;
  readonly stages: entryTypes.IStageRunner;
}

/**
 * The entry application: the HTTP server for callers with the pipeline and service runners behind it.
 *
 * @example
 * const app = new EntryApp(dependencies, DEFAULT_CALLER_OPTIONS);
 * const port = await app.listen('127.0.0.1', 0);
 * await app.drain();
 * app.dispose();
 */
export class EntryApp implements commonTypes.IDisposable {
  private readonly store = new disposableStore.DisposableStore();

  private readonly server: callerServer.CallerServer;

  /** Creates the runners and the server; the port opens with `listen`. */
  constructor(dependencies: IEntryDependencies, options: httpTypes.ICallerOptions) {
    const { clock, log, metrics, ledger, stages } = dependencies;
    const atMostOnce = new atMostOnceRunner.AtMostOnceRunner(ledger, log);
    const requests = new requestService.RequestService(
      dependencies.configuration,
      {
        pipelines: new pipelineRunner.PipelineRunner(stages, atMostOnce, clock),
        services: new serviceRunner.ServiceRunner(stages, atMostOnce, clock),
        quarantine: dependencies.quarantine,
        recorder: new requestRecorder.RequestRecorder(dependencies.accounting, log, metrics),
      },
      clock,
    );
    const server = new callerServer.CallerServer(requests, options, clock, log, metrics);
    this.server = this.store.add(server);
  }

  /** Opens the port and resolves with its number; port 0 picks a free one. */
  listen(host: string, port: number): Promise<number> {
    return this.server.listen(host, port);
  }

  /** Stops accepting requests and resolves when all requests in flight are answered. */
  drain(): Promise<void> {
    return this.server.drain();
  }

  /** @inheritdoc */
  dispose(): void {
    this.store.dispose();
  }
}
