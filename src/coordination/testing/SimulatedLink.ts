import * as emitter from '../../common/Emitter.js';
import type * as commonTypes from '../../common/Types.js';
import type * as rateLimits from '../../ratelimit/Types.js';
import type * as types from '../Types.js';
import type * as simulatedCoordinator from './SimulatedCoordinator.js';

/** Longest one-way delay between two VMs. */
const MAX_LINK_DELAY_MS = 5;

/** Carries messages between one VM and one coordinator, with delays, until it is closed. */
export class SimulatedLink implements rateLimits.ICoordinatorLink {
  private coordinator: simulatedCoordinator.SimulatedCoordinator | undefined;

  private connectionNumber = 0;

  private connectedAt: commonTypes.Millis = 0;

  private readonly coordinatorFoundEmitter = new emitter.Emitter<void>();

  private readonly permitEmitter = new emitter.Emitter<rateLimits.IPermitAnswer>();

  private readonly rateLimitsEmitter = new emitter.Emitter<
    readonly rateLimits.IRateLimitObservation[]
  >();

  private readonly coldEmitter = new emitter.Emitter<readonly rateLimits.IColdStatement[]>();

  readonly onCold = this.coldEmitter.event;

  readonly onCoordinatorFound = this.coordinatorFoundEmitter.event;

  readonly onPermit = this.permitEmitter.event;

  readonly onRateLimits = this.rateLimitsEmitter.event;

  private lastArrival: commonTypes.Millis = 0;

  /** Connects to no coordinator yet. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly random: commonTypes.IRandom,
  ) {}

  /** @inheritdoc */
  get isConnected(): boolean {
    return this.coordinator !== undefined;
  }

  /** Time since the connection was opened; 0 without one. */
  get connectedFor(): commonTypes.Millis {
    return this.isConnected ? this.clock.monotonic() - this.connectedAt : 0;
  }

  /** Connects to a coordinator, in place of the present one. */
  connect(coordinator: simulatedCoordinator.SimulatedCoordinator): void {
    this.disconnect();
    this.coordinator = coordinator;
    this.connectedAt = this.clock.monotonic();
    coordinator.links.add(this);
    this.coordinatorFoundEmitter.fire();
    coordinator.exchange.greet((message) => this.receive(message));
  }

  /** Closes the connection; its messages under way are lost. */
  disconnect(): void {
    this.coordinator?.links.delete(this);
    this.coordinator = undefined;
    this.connectionNumber += 1;
  }

  /** Delivers a message of the coordinator to the VM. */
  receive(message: types.DownMessage): void {
    this.deliver(() => {
      if (message.kind === 'permit') {
        this.permitEmitter.fire(message.answer);
      } else if (message.kind === 'limits') {
        this.rateLimitsEmitter.fire(message.observations);
      } else if (message.kind === 'cold') {
        this.coldEmitter.fire(message.statements);
      }
    });
  }

  /** @inheritdoc */
  requestPermit(permitId: number, endpointId: string): void {
    this.deliver((coordinator) =>
      coordinator.exchange.handlePermit(permitId, endpointId, true, (message) =>
        this.receive(message),
      ),
    );
  }

  /** @inheritdoc */
  sendRateLimits(observations: readonly rateLimits.IRateLimitObservation[]): void {
    this.deliver((coordinator) =>
      coordinator.exchange.handleLimits('vm', observations, (message) => this.receive(message)),
    );
  }

  /** @inheritdoc */
  sendCold(statements: readonly rateLimits.IColdStatement[]): void {
    this.deliver((coordinator) => coordinator.exchange.handleCold(statements));
  }

  private deliver(action: (coordinator: simulatedCoordinator.SimulatedCoordinator) => void): void {
    const { coordinator, connectionNumber, clock } = this;
    if (coordinator === undefined) {
      return;
    }
    // Messages of a connection keep their order.
    const arrival = clock.monotonic() + this.random.next() * MAX_LINK_DELAY_MS;
    this.lastArrival = Math.max(this.lastArrival, arrival);
    clock.setTimer(this.lastArrival - clock.monotonic(), () => {
      if (connectionNumber === this.connectionNumber) {
        action(coordinator);
      }
    });
  }
}
