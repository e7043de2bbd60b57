/** Puts the decisions on the request path together: one factory for the entry process and for tests. */
import type * as commonServices from '../common/services/Services.js';
import * as disposableStore from '../common/DisposableStore.js';
import type * as commonTypes from '../common/Types.js';
import type * as configTypes from '../config/Types.js';
import * as decisionOptions from './DecisionOptions.js';
import * as admission from './limits/Admission.js';
import * as endpointPicker from './routing/EndpointPicker.js';
import type * as routingTypes from './routing/Types.js';
import type * as entryServices from './services/Services.js';
import * as crashTracker from './stage/CrashTracker.js';
import * as healthConfirmer from './stage/HealthConfirmer.js';
import * as latencyTable from './stage/LatencyTable.js';
import * as stageRunner from './stage/StageRunner.js';
import * as stageTimes from './stage/StageTimes.js';
import type * as entryTypes from './Types.js';

const REPORT_INTERVAL_MS = 10_000;

/** What the decisions work with. */
export interface IDecisionServices {
  readonly clock: commonTypes.IClock;
  readonly random: commonTypes.IRandom;
  readonly log: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
  readonly endpointClient: entryTypes.IEndpointClient;
  readonly quarantine: entryServices.IQuarantineService;
  /** Which endpoints may get work; every declared one when absent. */
  readonly membership?: routingTypes.IMembershipView;
  /** Tells the other entry VMs of crashes; nobody when absent. */
  readonly announcer?: crashTracker.IBlameAnnouncer;
}

/** The decisions on the request path. */
export interface IDecisions extends commonTypes.IDisposable {
  readonly stageRunner: entryTypes.IStageRunner;
  readonly picker: endpointPicker.EndpointPicker;
  readonly admission: admission.Admission;
  readonly blame: crashTracker.CrashTracker;
  /** Asks endpoints for their incarnations. */
  readonly confirmer: healthConfirmer.HealthConfirmer;
  /** Takes a new configuration. */
  updateConfiguration(cfg: configTypes.IConfiguration): void;
}

const EVERY_ENDPOINT: routingTypes.IMembershipView = { accepts: () => true, observe: () => {} };
const NOBODY: crashTracker.IBlameAnnouncer = { announce: () => Promise.resolve() };

/**
 * Builds the decisions of one entry VM.
 *
 * @example
 * const decisions = createDecisions({ id: 'entry-1', zone: 'luzon-a' }, {}, services);
 * decisions.updateConfiguration(configurationService.current);
 * const answer = await decisions.stageRunner.run(call, ctx);
 */
export function createDecisions(
  self: endpointPicker.IEntryIdentity,
  overrides: decisionOptions.DecisionOverrides,
  services: IDecisionServices,
): IDecisions {
  const options = decisionOptions.decisionOptions(overrides);
  const { clock, random, log, metrics, endpointClient } = services;
  const membership = services.membership ?? EVERY_ENDPOINT;
  const store = new disposableStore.DisposableStore();
  const latencies = new latencyTable.LatencyTable(options.deadline, clock);
  const times = new stageTimes.StageTimes(options, clock, latencies);
  const places = store.add(new admission.Admission(options.limits, clock, metrics));
  const picker = new endpointPicker.EndpointPicker(self, options, {
    clock,
    random,
    log,
    metrics,
    membership,
    latencies,
  });
  const confirmer = new healthConfirmer.HealthConfirmer(options.crash, clock, endpointClient);
  const blame = new crashTracker.CrashTracker(
    options.crash,
    clock,
    log,
    metrics,
    services.quarantine,
    confirmer,
    services.announcer ?? NOBODY,
  );
  const runner = new stageRunner.StageRunner(options, {
    callTag: self.incarnation === undefined ? self.id : `${self.id}-${self.incarnation}`,
    clock,
    metrics,
    client: endpointClient,
    picker,
    admission: places,
    times,
    crashes: blame,
  });
  store.add(startReports(clock, () => [places, picker].forEach((part) => part.reportGauges())));
  return {
    stageRunner: runner,
    picker,
    admission: places,
    blame,
    confirmer,
    updateConfiguration: (cfg) => {
      places.updateConfiguration(cfg);
      picker.updateConfiguration(cfg);
      runner.updateConfiguration(cfg);
    },
    dispose: () => store.dispose(),
  };
}

/** Calls `report` at a fixed interval until disposed. */
function startReports(clock: commonTypes.IClock, report: () => void): commonTypes.IDisposable {
  let timer = clock.setTimer(REPORT_INTERVAL_MS, tick);
  function tick(): void {
    report();
    timer = clock.setTimer(REPORT_INTERVAL_MS, tick);
  }
  return { dispose: () => timer.dispose() };
}
