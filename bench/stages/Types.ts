/** A deployment with stages and its load, as the simulation plays it. */
import type * as routing from '../../src/routing/Types.js';

/** Draws of a number of items. */
export interface IItemDraw {
  readonly mean: number;
  /** Standard deviation over the mean; 0 gives the mean always. */
  readonly spread: number;
  readonly max: number;
  /** Share of the requests that have the stage at all. */
  readonly share: number;
  /** Work of an item against the declared cost. */
  readonly work: number;
}

/** A kind of request. */
export interface IKind {
  readonly name: string;
  readonly perSecond: number;
  readonly goalMs: number;
  readonly deadlineMs: number;
  readonly worth: number;
  readonly lateWorth: number;
  readonly priority: number;
  readonly stages: readonly routing.IStage[];
  readonly items: readonly IItemDraw[];
  /** Tokens of the prompt, and of its part that requests about one subject share. */
  readonly tokens: number;
  readonly sharedTokens: number;
  readonly subjects: number;
  /** Time that the engine works on it after its first token. */
  readonly runMs: number;
}

/** Callers whose workspace has a priority, which takes precedence over that of the kind. */
export interface IWorkspaceDraw {
  /** Share of all requests. */
  readonly share: number;
  readonly priority: number;
}

/** A stage service with its endpoints, one zone each in turn. */
export interface IStageService {
  readonly name: string;
  readonly endpoints: number;
  readonly limits: routing.IBatchLimits;
}

/** A burst of one kind, or of all. */
export interface IBurst {
  readonly kind: string | undefined;
  readonly fromMs: number;
  readonly untilMs: number;
  readonly factor: number;
}

/** Everything that is played. */
export interface IScenario {
  readonly name: string;
  readonly zones: number;
  readonly services: readonly IStageService[];
  readonly engines: number;
  readonly kinds: readonly IKind[];
  /** Workspaces with a priority of their own; the other requests have that of their kind. */
  readonly workspaces?: readonly IWorkspaceDraw[];
  readonly bursts: readonly IBurst[];
  readonly lengthMs: number;
}

/** What callers of one kind got. */
export interface IKindResult {
  readonly kind: string;
  readonly asked: number;
  readonly inTime: number;
  readonly late: number;
  readonly refusedAtOnce: number;
  readonly refusedLater: number;
  /** Refused, came back when told to, and refused again. */
  readonly refusedAgain: number;
  readonly credit: number;
  readonly owed: number;
}

/** What a play came to. */
export interface IPlayResult {
  readonly kinds: readonly IKindResult[];
  /** Credit over what was owed. */
  readonly share: number;
  /** Time that endpoints spent on results nobody used, over all their time. */
  readonly wasted: number;
  /** Share of the bytes of results that crossed availability zones. */
  readonly crossing: number;
  /** Items that were asked for. */
  readonly items: number;
  /** Items that found no room, and items whose inputs were gone. */
  readonly noRoom: number;
  readonly gone: number;
  /** Calls that found the endpoint full, over all calls. */
  readonly full: number;
}
