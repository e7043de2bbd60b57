import type * as commonTypes from '../common/Types.js';
import type * as endpointRooms from '../room/EndpointRooms.js';
import type * as routing from '../routing/Types.js';
import type * as requestScope from './RequestScope.js';
import type * as types from './Types.js';

/** Collaborators of an EngineCall. */
export interface IEngineCallDependencies {
  readonly caller: types.IEndpointCaller;
  readonly rooms: endpointRooms.EndpointRooms;
}

/** One call of a request to a model engine. Counts as an attempt in flight until `dispose`; ends with the request. */
export class EngineCall implements commonTypes.IDisposable {
  private readonly call: types.IStartedCall;

  private readonly placed: commonTypes.IDisposable;

  private readonly unregister: () => void;

  private isDisposed = false;

  private cancelled = false;

  /** Sends the call; `roomId` names its room at a brittle engine. */
  constructor(
    private readonly scope: requestScope.RequestScope,
    private readonly endpointCall: types.IEndpointCall,
    roomId: string,
    { caller, rooms }: IEngineCallDependencies,
  ) {
    this.call = caller.send(endpointCall);
    this.placed = rooms.recordPlaced(roomId, endpointCall.endpoint.id);
    this.unregister = scope.onFinish(() => this.cancel());
    this.scope.attemptCount += 1;
    this.scope.attemptsInFlight += 1;
  }

  /** Engine to which the call goes. */
  get endpoint(): routing.IEndpoint {
    return this.endpointCall.endpoint;
  }

  /** Resolves with the head of the response; rejects with EndpointCallError if there is none. */
  get answer(): Promise<types.IEndpointAnswer> {
    return this.call.answer;
  }

  /** Whether the call was ended by this VM, so that its failure says nothing about the engine. */
  get isCancelled(): boolean {
    return this.cancelled;
  }

  /** Destroys the connection, which makes the engine abandon the request. */
  cancel(): void {
    this.cancelled = true;
    this.call.cancel();
  }

  /** @inheritdoc */
  dispose(): void {
    if (!this.isDisposed) {
      this.isDisposed = true;
      this.placed.dispose();
      this.unregister();
      this.scope.attemptsInFlight -= 1;
    }
  }
}
