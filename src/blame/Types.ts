/** Contracts for the attribution of endpoint crashes to the requests that cause them. */
import type * as commonTypes from '../common/Types.js';
import type * as routing from '../routing/Types.js';

/**
 * Traits of a request by which it is recognised as the cause of crashes: the id of the request itself, the same for
 * each resend, and the ids of the prompt parts that it may share with other requests.
 */
export interface IRequestTraits {
  readonly request: string;
  readonly parts: readonly string[];
}

/** A request that was at an endpoint when it crashed and may have caused this. */
export interface ISuspect extends IRequestTraits {
  /** Time since it was sent to the endpoint. */
  readonly placedAge: commonTypes.Millis;
}

/** A crash of an endpoint, as VMs tell it each other. Times are ages, since the clocks of VMs differ. */
export interface ICrashRecord {
  readonly id: string;
  readonly endpointId: string;
  readonly age: commonTypes.Millis;
  /** Id of an earlier crash at the same time, which has the same cause. Decided once, since ages lack the precision. */
  readonly joins?: string | undefined;
  readonly suspects: readonly ISuspect[];
}

/** Latest success of a request with a trait that had been suspected. */
export interface ITraitProof {
  readonly trait: string;
  readonly age: commonTypes.Millis;
}

/** What VMs tell each other about crashes. */
export interface IBlameNews {
  readonly crashes: readonly ICrashRecord[];
  readonly proofs: readonly ITraitProof[];
}

/** A change of a table that other VMs should know. */
export interface IBlameChange {
  readonly news: IBlameNews;
  /** Whether this VM observed it, rather than another one. */
  readonly isOwn: boolean;
}

/** Finding that requests with a trait crash endpoints. */
export interface IVerdict {
  readonly trait: string;
  /** Time, on the monotonic clock, until which all requests with the trait are refused. */
  readonly until: commonTypes.Millis;
  readonly lastCrashAt: commonTypes.Millis;
  /** Ids of the crashes, the oldest first. */
  readonly crashIds: readonly string[];
  /** Other traits to blame for the same crashes, of which one may be the only cause. */
  readonly rivals: readonly string[];
}

/** Refusal of a request with a quarantined trait. */
export interface IQuarantineRefusal {
  readonly trait: string;
  /** Time after which a request with the trait may be admitted. */
  readonly retryAfter: commonTypes.Millis;
}

/** Checks whether an endpoint that failed a request has crashed. */
export interface ICrashConfirmer {
  /** Resolves with true only if a crash is proven; never rejects. */
  hasCrashed(endpoint: routing.IEndpoint): Promise<boolean>;
}

/** Answer of the coordinator to a request for a trial; `refusal` is undefined if the request is admitted. */
export interface ITrialAnswer {
  readonly trialId: number;
  readonly refusal?: IQuarantineRefusal | undefined;
}

/** Connection of an entry VM to the coordinator, as far as crashes are concerned. */
export interface IBlameLink {
  /** Whether a coordinator is connected. */
  readonly isConnected: boolean;
  /** Fires for each answer to a request for a trial. */
  readonly onTrial: commonTypes.IEvent<ITrialAnswer>;
  /** Fires when a coordinator is found, before any other message to it. */
  readonly onCoordinatorFound: commonTypes.IEvent<void>;
  /** Fires for the news that a control VM sends. */
  readonly onBlame: commonTypes.IEvent<IBlameNews>;
  /** Sends news; has no effect while no coordinator is connected. */
  sendBlame(news: IBlameNews): void;
  /** Requests a trial of a request; has no effect while no coordinator is connected. */
  requestTrial(trialId: number, traits: IRequestTraits): void;
}
