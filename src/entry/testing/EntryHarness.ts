import * as disposableStore from '../../common/DisposableStore.js';
import * as keyHash from '../../common/KeyHash.js';
import * as seededRandom from '../../common/SeededRandom.js';
import * as systemClock from '../../common/SystemClock.js';
import type * as commonTypes from '../../common/Types.js';
import * as recordingLogService from '../../common/testing/RecordingLogService.js';
import * as recordingMetricsService from '../../common/testing/RecordingMetricsService.js';
import type * as configTypes from '../../config/Types.js';
import * as standins from '../../standin/Standin.js';
import type * as standinTypes from '../../standin/Types.js';
import * as decisionsModule from '../Decisions.js';
import * as httpEndpointClient from '../endpoints/HttpEndpointClient.js';
import * as entryApp from '../EntryApp.js';
import * as httpTypes from '../http/Types.js';
import * as memoryLedgerService from './MemoryLedgerService.js';
import * as memoryQuarantineService from './MemoryQuarantineService.js';
import * as recordingAccountingService from './RecordingAccountingService.js';
import * as staticConfigurationService from './StaticConfigurationService.js';

const SEED = 20261203;

/** An entry application with stand-ins for its endpoints, all in the process of the test. */
export class EntryHarness implements commonTypes.IDisposable {
  readonly clock = new systemClock.SystemClock();

  readonly log = new recordingLogService.RecordingLogService();

  readonly metrics = new recordingMetricsService.RecordingMetricsService();

  readonly ledger = new memoryLedgerService.MemoryLedgerService();

  readonly accounting = new recordingAccountingService.RecordingAccountingService();

  readonly quarantine = new memoryQuarantineService.MemoryQuarantineService();

  readonly key = keyHash.newKey('test');

  readonly standins = new Map<string, standins.Standin>();

  readonly configuration = new staticConfigurationService.StaticConfigurationService(undefined);

  private readonly store = new disposableStore.DisposableStore();

  private app: entryApp.EntryApp | undefined;

  private decisions: decisionsModule.IDecisions | undefined;

  private port = 0;

  /** Base URL of the entry application. */
  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /** Headers of a JSON request with the API key of the test workspace. */
  get headers(): Readonly<Record<string, string>> {
    return { authorization: `Bearer ${this.key.text}`, 'content-type': 'application/json' };
  }

  /** Starts stand-ins for two model replicas, a stage pool and a service, then the entry application. */
  async start(options: Partial<httpTypes.ICallerOptions> = {}): Promise<void> {
    const declaration = await this.createDeclaration();
    this.configuration.set({ version: 1, declaration });
    const client = this.store.add(new httpEndpointClient.HttpEndpointClient());
    const { clock, log, metrics, configuration, ledger, quarantine, accounting } = this;
    this.decisions = this.store.add(
      decisionsModule.createDecisions(
        { id: 'entry-test', zone: 'a' },
        {},
        {
          clock,
          random: new seededRandom.SeededRandom(SEED),
          log,
          metrics,
          endpointClient: client,
          quarantine,
        },
      ),
    );
    this.decisions.updateConfiguration({ version: 1, declaration });
    const stages = this.decisions.stageRunner;
    const dependencies = {
      clock,
      log,
      metrics,
      configuration,
      ledger,
      quarantine,
      accounting,
      stages,
    };
    const callerOptions = { ...httpTypes.DEFAULT_CALLER_OPTIONS, ...options };
    this.app = this.store.add(new entryApp.EntryApp(dependencies, callerOptions));
    this.port = await this.app.listen('127.0.0.1', 0);
  }

  /** Puts the edited declaration in force with the next version. */
  editDeclaration(edit: (declaration: configTypes.IDeclaration) => configTypes.IDeclaration): void {
    const { current } = this.configuration;
    if (!current || !this.decisions) {
      throw new Error('EntryHarness.start must be called first');
    }
    const next = { version: current.version + 1, declaration: edit(current.declaration) };
    this.decisions.updateConfiguration(next);
    this.configuration.set(next);
  }

  /** Returns the stand-in of that name; throws when there is none. */
  standin(name: string): standins.Standin {
    const standin = this.standins.get(name);
    if (!standin) {
      throw new Error(`no stand-in named ${name}`);
    }
    return standin;
  }

  /** Posts a body to a path of the entry application; a string is sent as it is, other values as JSON. */
  post(path: string, body: unknown, headers: Record<string, string> = {}): Promise<Response> {
    return fetch(`${this.url}${path}`, {
      method: 'POST',
      headers: { ...this.headers, ...headers },
      body: typeof body === 'string' ? body : JSON.stringify(body),
    });
  }

  /** Drains the entry application. */
  async drain(): Promise<void> {
    await this.app?.drain();
  }

  /** @inheritdoc */
  dispose(): void {
    this.store.dispose();
  }

  private async startEndpoint(
    name: string,
    kind: standinTypes.StandinKind,
  ): Promise<configTypes.IEndpoint> {
    const random = new seededRandom.SeededRandom(SEED);
    const standin = this.store.add(new standins.Standin({ name, kind }, this.clock, random));
    this.standins.set(name, standin);
    const address = await standin.start();
    return { name, address, zone: 'a', checksFencing: true, role: 'both' };
  }

  private async createDeclaration(): Promise<configTypes.IDeclaration> {
    const engines = [
      await this.startEndpoint('llm-1', 'engine'),
      await this.startEndpoint('llm-2', 'engine'),
    ];
    const stages = [await this.startEndpoint('stage-1', 'stages')];
    const register = [await this.startEndpoint('register-1', 'service')];
    const pool = { resumable: false, costPerSecond: 1 };
    return {
      version: 0,
      name: 'test',
      zones: [{ name: 'a', region: 'r' }],
      workspaces: [{ name: 'w', share: 1, keys: [this.key.stored] }],
      kinds: [
        {
          name: 'summary',
          deadlineMs: 5_000,
          patience: 'interactive',
          attainmentTarget: 0.99,
          costTarget: 10,
        },
      ],
      pools: [
        { ...pool, name: 'llm', kind: 'generation', resumable: true, endpoints: engines },
        { ...pool, name: 'encode', kind: 'encoding', endpoints: stages },
        { ...pool, name: 'retrieve', kind: 'retrieval', endpoints: stages },
        { ...pool, name: 'rerank', kind: 'reranking', endpoints: stages },
        { ...pool, name: 'register', kind: 'service', endpoints: register },
      ],
      pipelines: [
        {
          name: 'summary',
          kind: 'summary',
          naturalKey: [],
          stages: [
            { name: 'encode', kind: 'encoding', pool: 'encode', repeatable: true },
            { name: 'retrieve', kind: 'retrieval', pool: 'retrieve', repeatable: true },
            { name: 'rerank', kind: 'reranking', pool: 'rerank', repeatable: true },
            { name: 'write', kind: 'generation', pool: 'llm', repeatable: true, maxTokens: 20 },
          ],
        },
      ],
      services: [
        {
          name: 'register',
          pool: 'register',
          routes: [
            {
              method: 'GET',
              path: 'accounts/{id}/balance',
              kind: 'summary',
              repeatable: true,
              naturalKey: [],
            },
            {
              method: 'POST',
              path: 'postings',
              kind: 'summary',
              repeatable: false,
              naturalKey: ['account', 'document'],
            },
          ],
        },
      ],
    };
  }
}
