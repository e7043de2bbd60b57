import * as pattern from 'ts-pattern';
import * as requestError from '../common/RequestError.js';
import type * as commonTypes from '../common/Types.js';
import type * as configTypes from '../config/Types.js';
import * as authenticator from './http/Authenticator.js';
import * as callerBody from './http/CallerBody.js';
import type * as callerRoutes from './http/CallerRoutes.js';
import * as pipelineInput from './http/PipelineInput.js';
import type * as httpServices from './http/Services.js';
import type * as requestRecorder from './RequestRecorder.js';
import * as fingerprints from './pipeline/Fingerprint.js';
import type * as pipelineRunner from './pipeline/PipelineRunner.js';
import * as requestScope from './pipeline/RequestScope.js';
import * as routeTable from './pipeline/RouteTable.js';
import type * as serviceRunner from './pipeline/ServiceRunner.js';
import type * as pipelineTypes from './pipeline/Types.js';
import type * as services from './services/Services.js';

/** Retry-after time in refusals while no configuration is in force. */
const NOT_READY_RETRY_MS = 1_000;

/** Components that run, refuse and record requests. */
export interface IRunners {
  readonly pipelines: pipelineRunner.PipelineRunner;
  readonly services: serviceRunner.ServiceRunner;
  readonly quarantine: services.IQuarantineService;
  readonly recorder: requestRecorder.RequestRecorder;
}

/** Denials that a newer configuration may lift. */
const CONFIGURED_DENIALS: ReadonlySet<string> = new Set([
  'bad-key',
  'unknown-pipeline',
  'unknown-service',
  'method-not-allowed',
]);

/** Lookup tables built from one configuration. */
interface ILookupTables {
  readonly version: number;
  readonly authenticator: authenticator.Authenticator;
  readonly routes: routeTable.RouteTable;
}

/** Authenticates and parses callers' requests, and runs them under the configuration in force. */
export class RequestService implements httpServices.IRequestService {
  private tables: ILookupTables | undefined;

  /** Builds the lookup tables now and on each configuration change. */
  constructor(
    private readonly configuration: services.IConfigurationService,
    private readonly runners: IRunners,
    private readonly clock: commonTypes.IClock,
  ) {
    if (configuration.current) {
      this.updateTables(configuration.current);
    }
    configuration.onChange((next) => this.updateTables(next));
  }

  /** @inheritdoc */
  get ready(): boolean {
    return this.configuration.ready && this.tables !== undefined;
  }

  /** @inheritdoc */
  get version(): number | undefined {
    return this.tables?.version;
  }

  /** @inheritdoc */
  accept(request: httpServices.ICallerRequest): httpServices.IAcceptedRequest {
    const { tables } = this;
    if (!tables || !this.configuration.ready) {
      const message = 'this VM has not received the current configuration yet; retry later';
      throw new requestError.RequestError('not-ready', message, {
        run: 'not-run',
        retryAfter: NOT_READY_RETRY_MS,
      });
    }
    try {
      return this.acceptUnder(request, tables);
    } catch (err) {
      throw this.isFinal(err) ? err : unconfirmed(err as requestError.RequestError);
    }
  }

  /** Whether an error holds under any configuration that may be in force. */
  private isFinal(err: unknown): boolean {
    return (
      this.configuration.isCurrent ||
      !(err instanceof requestError.RequestError && CONFIGURED_DENIALS.has(err.code))
    );
  }

  private acceptUnder(
    request: httpServices.ICallerRequest,
    tables: ILookupTables,
  ): httpServices.IAcceptedRequest {
    const workspace = tables.authenticator.workspaceOf(request.authorization);
    const { route } = request;
    return pattern
      .match(route)
      .with({ kind: 'service' }, (found) => this.acceptService(request, found, tables, workspace))
      .with({ kind: pattern.P.union('pipeline', 'chat', 'embeddings') }, (found) =>
        this.acceptPipeline(request, found, tables, workspace),
      )
      .with({ kind: pattern.P.union('health', 'ready') }, () => {
        throw new Error('health routes must be handled by the server');
      })
      .exhaustive();
  }

  private updateTables(next: configTypes.IConfiguration): void {
    this.tables = {
      version: next.version,
      authenticator: new authenticator.Authenticator(next.declaration),
      routes: new routeTable.RouteTable(next.declaration),
    };
  }

  private acceptService(
    request: httpServices.ICallerRequest,
    route: Extract<callerRoutes.CallerRoute, { kind: 'service' }>,
    tables: ILookupTables,
    workspace: string,
  ): httpServices.IAcceptedRequest {
    const found = tables.routes.findService(route.service, request.method, route.path);
    const scope = this.createScope(request, workspace, {
      target: `${found.service.name}/${found.route.path}`,
      kind: tables.routes.kind(found.route.kind),
      fingerprint: fingerprints.fingerprint(
        workspace,
        request.method,
        route.service,
        route.path,
        request.body,
      ),
    });
    const call = {
      method: request.method,
      path: route.path,
      query: route.query,
      contentType: request.contentType,
      body: request.body,
    };
    const routed = { ...found, call, idempotencyKey: request.headers.idempotencyKey };
    return this.toAccepted(scope, tables, () => this.runners.services.run(routed, scope));
  }

  private acceptPipeline(
    request: httpServices.ICallerRequest,
    route: Extract<callerRoutes.CallerRoute, { kind: 'pipeline' | 'chat' | 'embeddings' }>,
    tables: ILookupTables,
    workspace: string,
  ): httpServices.IAcceptedRequest {
    const raw = callerBody.parseObject(request.body);
    const body = readBody(route, raw);
    const pipeline = tables.routes.pipeline(body.model ?? '');
    const scope = this.createScope(request, workspace, {
      target: pipeline.name,
      kind: tables.routes.kind(pipeline.kind),
      fingerprint: fingerprints.fingerprint(workspace, pipeline.name, request.body),
    });
    const call: pipelineTypes.IPipelineCall = {
      pipeline,
      input: body.input,
      stream: body.stream,
      shape: answerShapeOf(route),
      idempotencyKey: request.headers.idempotencyKey,
      createdAt: this.clock.now(),
      ctx: scope.ctx,
    };
    const pools = (name: string) => tables.routes.pool(name);
    return this.toAccepted(scope, tables, () => this.runners.pipelines.run(call, pools, scope));
  }

  private createScope(
    request: httpServices.ICallerRequest,
    workspace: string,
    names: Pick<requestScope.IRequestIdentity, 'target' | 'kind' | 'fingerprint'>,
  ): requestScope.RequestScope {
    if (this.runners.quarantine.isQuarantined(names.fingerprint)) {
      const message =
        'this request is quarantined because it crashed endpoints; change it, or ask the operator to lift the quarantine';
      throw new requestError.RequestError('quarantined', message, { run: 'not-run' });
    }
    const { requestId: id, deadlineMs } = request.headers;
    const all = { ...names, id, workspace, deadlineMs };
    return new requestScope.RequestScope(all, this.clock, request.arrivalTime);
  }

  private toAccepted(
    scope: requestScope.RequestScope,
    tables: ILookupTables,
    run: () => Promise<pipelineTypes.CallerAnswer>,
  ): httpServices.IAcceptedRequest {
    return {
      scope,
      version: tables.version,
      run,
      settle: (err) => this.runners.recorder.record(scope, err),
    };
  }
}

function readBody(
  route: Extract<callerRoutes.CallerRoute, { kind: 'pipeline' | 'chat' | 'embeddings' }>,
  raw: Readonly<Record<string, unknown>>,
): pipelineInput.IPipelineBody {
  return pattern
    .match(route)
    .with({ kind: 'pipeline' }, ({ pipeline }) => ({
      ...pipelineInput.readPipelineBody(raw),
      model: pipeline,
    }))
    .with({ kind: 'chat' }, () => pipelineInput.readChatBody(raw))
    .with({ kind: 'embeddings' }, () => pipelineInput.readEmbeddingBody(raw))
    .exhaustive();
}

function answerShapeOf(route: callerRoutes.CallerRoute): pipelineTypes.AnswerShape {
  return pattern
    .match<callerRoutes.CallerRoute, pipelineTypes.AnswerShape>(route)
    .with({ kind: 'chat' }, () => 'chat')
    .with({ kind: 'embeddings' }, () => 'embedding')
    .otherwise(() => 'pipeline');
}

/** Replaces a denial by a configuration that may be old: the caller is to come back. */
function unconfirmed(denial: requestError.RequestError): requestError.RequestError {
  const message = `this VM may hold an old configuration, by which: ${denial.message}`;
  return new requestError.RequestError('not-ready', message, {
    run: 'not-run',
    retryAfter: NOT_READY_RETRY_MS,
  });
}
