/** Contracts of the demo. */
import type * as declare from 'anvildeck/declare';
import type * as addressing from '../Addresses.js';

/** One request of the demo. */
export interface IDemoRequest {
  readonly title: string;
  /** Kind of request, for the table. */
  readonly kind: string;
  readonly workspace: string;
  readonly method: string;
  readonly path: string;
  readonly body?: Readonly<Record<string, unknown>>;
  readonly headers?: Readonly<Record<string, string>>;
}

/** One deployment that the demo can start. */
export interface IDemoDeployment {
  readonly name: string;
  readonly poolSizes: Readonly<Record<string, number>>;
  readonly zones: readonly string[];
  readonly keys: Readonly<Record<string, string>>;
  /** Pools whose members are model engines. */
  readonly engines: readonly string[];
  /** Pools whose members are stages. */
  readonly stages: readonly string[];
  declaration(addresses: addressing.Addresses): declare.IDeclaration;
  readonly requests: readonly IDemoRequest[];
}

/** What one request got. */
export interface IDemoResult {
  readonly request: IDemoRequest;
  readonly status: number;
  readonly run: string;
  /** Milliseconds to the last byte. */
  readonly millis: number;
  readonly deadlineMs: number;
  readonly inTime: boolean;
  /** The start of what came, on one line. */
  readonly excerpt: string;
}

/** What the demo reads of `anvildeckctl report --format json`. */
export interface IDemoReport {
  readonly kinds: readonly {
    readonly kind: string;
    readonly requests: number;
    readonly inTime: number;
    readonly attainmentTarget: number;
  }[];
  readonly stages: readonly {
    readonly stage: string;
    readonly attempts: number;
    readonly cost: number;
  }[];
}
