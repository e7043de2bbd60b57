import * as blameSync from '../../blame/BlameSync.js';
import type * as blameTable from '../../blame/BlameTable.js';
import * as blameFixture from '../../blame/testing/Blame.js';
import * as blameTraits from '../../blame/Traits.js';
import type * as blame from '../../blame/Types.js';
import * as disposableStore from '../../common/DisposableStore.js';
import * as emitter from '../../common/Emitter.js';
import type * as commonTypes from '../../common/Types.js';
import type * as placing from '../../placing/Types.js';
import type * as types from '../Types.js';
import type * as blameCoordinator from './BlameCoordinator.js';
import type * as crashingEngine from './CrashingEngine.js';

/** Longest one-way delay of a message. */
const MAX_DELAY_MS = 8;
/** Attempts for one request. */
const MAX_ATTEMPTS = 3;

/** A request of a caller. */
export interface IModelRequest {
  readonly id: string;
  readonly fingerprint: string;
  readonly prompt: placing.IPrompt;
  readonly isDeadly: boolean;
}

/** How a request ended for its caller. */
export type ModelOutcome = 'whole' | 'quarantined' | 'failed';

/** An entry VM: asks the coordinator for engines, and keeps its own table of crashes. */
export class BlameVm implements blame.IBlameLink {
  readonly table: blameTable.BlameTable;

  /** Times at which a deadly request was sent to an engine. */
  readonly deadlySends: commonTypes.Millis[] = [];

  private coordinator: blameCoordinator.BlameCoordinator | undefined;

  private readonly coordinatorFoundEmitter = new emitter.Emitter<void>();

  private readonly blameEmitter = new emitter.Emitter<blame.IBlameNews>();

  readonly onCoordinatorFound = this.coordinatorFoundEmitter.event;

  readonly onBlame = this.blameEmitter.event;

  private readonly trialEmitter = new emitter.Emitter<blame.ITrialAnswer>();

  readonly onTrial = this.trialEmitter.event;

  private readonly sync: blameSync.BlameSync;

  private planNumber = 0;

  /** Not connected to a coordinator yet. */
  constructor(
    readonly name: string,
    private readonly clock: commonTypes.IClock,
    private readonly random: commonTypes.IRandom,
    private readonly engines: ReadonlyMap<string, crashingEngine.CrashingEngine>,
  ) {
    this.table = blameFixture.makeTable(clock);
    this.sync = new blameSync.BlameSync(this.table, this);
  }

  /** Connects to a coordinator, in place of the present one. */
  connect(coordinator: blameCoordinator.BlameCoordinator | undefined): void {
    this.coordinator?.vms.delete(this);
    this.coordinator = coordinator;
    if (coordinator !== undefined) {
      coordinator.vms.add(this);
      this.coordinatorFoundEmitter.fire();
      coordinator.exchange.greet((message) => this.receive(message));
    }
  }

  /** Stops the exchange, as when the VM is removed. */
  dispose(): void {
    this.connect(undefined);
    this.sync.dispose();
  }

  /** Delivers a message of the coordinator. */
  receive(message: types.DownMessage): void {
    const { coordinator } = this;
    this.later(() => {
      if (message.kind === 'blame' && coordinator === this.coordinator) {
        this.blameEmitter.fire(message.news);
      } else if (message.kind === 'trial') {
        this.trialEmitter.fire(message.answer);
      }
    });
  }

  /** @inheritdoc */
  sendBlame(news: blame.IBlameNews): void {
    const { coordinator } = this;
    this.later(() => coordinator?.exchange.handleNews(news));
  }

  /** @inheritdoc */
  get isConnected(): boolean {
    return this.coordinator !== undefined;
  }

  /** @inheritdoc */
  requestTrial(trialId: number, traits: blame.IRequestTraits): void {
    const { coordinator } = this;
    const message = { kind: 'trial', trialId, traits } as const;
    this.later(() =>
      coordinator?.exchange.handleTrial(this.name, message, true, (answer) => this.receive(answer)),
    );
  }

  /** Serves a request; a request whose engine broke off is sent again if `isRepeatable`. */
  async serve(request: IModelRequest, isRepeatable: boolean): Promise<ModelOutcome> {
    const traits = blameTraits.traitsOf('s', request.fingerprint, request.prompt);
    const avoid: string[] = [];
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (this.table.refusalOf(traits) !== undefined) {
        return 'quarantined';
      }
      const end = await this.attempt(request, traits, avoid);
      if (end === 'whole' || end === 'quarantined') {
        return end;
      }
      if (end === 'broken' && !isRepeatable) {
        return 'failed';
      }
    }
    return 'failed';
  }

  private async attempt(
    request: IModelRequest,
    traits: blame.IRequestTraits,
    avoid: string[],
  ): Promise<'whole' | 'broken' | 'not-run' | 'quarantined'> {
    const planner = this.coordinator?.planner;
    if (planner === undefined) {
      await this.clock.sleep(100);
      return 'not-run';
    }
    this.planNumber += 1;
    const planId = `${request.id}/${this.name}/${this.planNumber}`;
    await this.delay();
    const outcome = await planner.plan(planRequest(planId, request, avoid));
    await this.delay();
    if (outcome.kind === 'refused') {
      return outcome.reason === 'quarantined' ? 'quarantined' : 'not-run';
    }
    avoid.push(outcome.endpoint.id);
    const end = await this.send(planId, request, traits, outcome.endpoint.id);
    const failed = end === 'broken' ? outcome.endpoint.id : undefined;
    this.later(() => {
      if (end === 'quarantined') {
        planner.cancel(planId);
      } else {
        planner.markEnded(planId, failed);
      }
    });
    return end;
  }

  private async send(
    planId: string,
    { isDeadly }: IModelRequest,
    traits: blame.IRequestTraits,
    engineId: string,
  ): Promise<'whole' | 'broken' | 'not-run' | 'quarantined'> {
    const engine = this.engines.get(engineId);
    const planner = this.coordinator?.planner;
    if (this.table.refusalOf(traits) !== undefined) {
      return 'quarantined';
    }
    let hasStarted = false;
    return new Promise((resolve) => {
      const subscriptions = new disposableStore.DisposableStore();
      const call: crashingEngine.IEngineCall = {
        isDeadly,
        onStarted: () => {
          hasStarted = true;
          this.later(() => planner?.markStarted(planId, true));
        },
        onEnded: (end) => {
          subscriptions.dispose();
          resolve(end);
        },
      };
      const watch = this.table.onVerdict(() => {
        if (!hasStarted && this.table.refusalOf(traits) !== undefined) {
          engine?.cancel(call);
          call.onEnded('quarantined');
        }
      });
      subscriptions.add(watch);
      if (engine?.accept(call) !== true) {
        call.onEnded('not-run');
      } else if (isDeadly) {
        this.deadlySends.push(this.clock.monotonic());
      }
    });
  }

  private delay(): Promise<void> {
    return this.clock.sleep(this.random.next() * MAX_DELAY_MS);
  }

  private later(action: () => void): void {
    this.clock.setTimer(this.random.next() * MAX_DELAY_MS, action);
  }
}

function planRequest(
  planId: string,
  request: IModelRequest,
  avoid: readonly string[],
): types.IPlanRequest {
  return {
    planId,
    requestId: request.id,
    fingerprint: request.fingerprint,
    service: 's',
    stages: [],
    pieces: [],
    pieceKey: '',
    priority: 0,
    goalLeft: 3000,
    deadlineLeft: 10_000,
    prompt: request.prompt,
    avoid: [...avoid],
    held: [],
  };
}
