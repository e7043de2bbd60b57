/** Factory of the components that admit, route and run stage calls; used by the entry process and by tests. */
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

const METRICS_INTERVAL_MS = 10_000;

/** Services that the components of the request path use. */
export interface IDecisionServices {
  readonly clock: commonTypes.IClock;
  readonly random: commonTypes.IRandom;
  readonly log: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
  readonly endpointClient: entryTypes.IEndpointClient;
  readonly quarantine: entryServices.IQuarantineService;
  /** Decides which endpoints may receive work; all declared endpoints when absent. */
  readonly membership?: routingTypes.IMembershipView;
  /** Announces crashes to the other entry VMs; no announcements when absent. */
  readonly announcer?: crashTracker.IBlameAnnouncer;
}

/** The components of the request path of one entry VM. */
export interface IDecisions extends commonTypes.IDisposable {
  readonly stageRunner: entryTypes.IStageRunner;
  readonly picker: endpointPicker.EndpointPicker;
  readonly admission: admission.Admission;
  readonly blame: crashTracker.CrashTracker;
  /** Reads the incarnations of endpoints from their health route. */
  readonly confirmer: healthConfirmer.HealthConfirmer;
  /** Applies a new configuration to all components. */
  updateConfiguration(cfg: configTypes.IConfiguration): void;
}

const ALL_ENDPOINTS: routingTypes.IMembershipView = { accepts: () => true, observe: () => {} };
const NO_ANNOUNCER: crashTracker.IBlameAnnouncer = { announce: () => Promise.resolve() };

/**
 * Creates the components of the request path of one entry VM.
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
  const membership = services.membership ?? ALL_ENDPOINTS;
  const store = new disposableStore.DisposableStore();
  const latencies = new latencyTable.LatencyTable(options.deadline, clock);
  const times = new stageTimes.StageTimes(options, clock, latencies);
  const poolAdmission = store.add(new admission.Admission(options.limits, clock, metrics));
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
    services.announcer ?? NO_ANNOUNCER,
  );
  const runner = new stageRunner.StageRunner(options, {
    callTag: self.incarnation === undefined ? self.id : `${self.id}-${self.incarnation}`,
    clock,
    metrics,
    client: endpointClient,
    picker,
    admission: poolAdmission,
    times,
    crashes: blame,
  });
  store.add(
    startMetricsReports(clock, () =>
      [poolAdmission, picker].forEach((component) => component.reportGauges()),
    ),
  );
  return {
    stageRunner: runner,
    picker,
    admission: poolAdmission,
    blame,
    confirmer,
    updateConfiguration: (cfg) => {
      poolAdmission.updateConfiguration(cfg);
      picker.updateConfiguration(cfg);
      runner.updateConfiguration(cfg);
    },
    dispose: () => store.dispose(),
  };
}

/** Calls `report` at a fixed interval until disposed. */
function startMetricsReports(
  clock: commonTypes.IClock,
  report: () => void,
): commonTypes.IDisposable {
  let timer = clock.setTimer(METRICS_INTERVAL_MS, tick);
  function tick(): void {
    report();
    timer = clock.setTimer(METRICS_INTERVAL_MS, tick);
  }
  return { dispose: () => timer.dispose() };
}
