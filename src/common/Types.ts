/** Types shared by all folders. */

/** A timestamp or a duration in milliseconds; timestamps count from the Unix epoch. */
export type Millis = number;

/** An object that holds a resource (timer, socket, file, subscription) until it is disposed. */
export interface IDisposable {
  /** Releases the resource; further calls have no effect. */
  dispose(): void;
}

/** Subscribes a listener; disposing the returned value unsubscribes it. */
export type IEvent<T> = (listener: (value: T) => void) => IDisposable;

/** The only source of time. It is injected, so that tests can control it. */
export interface IClock {
  /** Wall-clock time in milliseconds since the Unix epoch, for timestamps that leave the process. */
  now(): Millis;
  /** Monotonic time in milliseconds, for durations within the process. */
  monotonic(): Millis;
  /** Calls `callback` once after `delay` milliseconds, unless the timer is disposed before. */
  setTimer(delay: Millis, callback: () => void): IDisposable;
  /** Resolves after `delay` milliseconds; rejects with AbortError when the signal aborts first. */
  sleep(delay: Millis, signal?: AbortSignal): Promise<void>;
}

/** A seeded generator of pseudo-random numbers. */
export interface IRandom {
  /** Returns a float in [0, 1). */
  next(): number;
  /** Returns an integer in [0, limit). */
  nextInt(limit: number): number;
}

/** One fault found in an operator's file, with its location. */
export interface IFinding {
  /** Path of the file as given by the operator. */
  readonly file: string;
  /** Line number, starting at 1; absent when it could not be determined. */
  readonly line?: number;
  /** Dotted path of the value, such as `pools[0].endpoints[2].address`; empty for the whole file. */
  readonly path: string;
  /** Description of the fault. */
  readonly message: string;
  /** Description of the values that are valid here. */
  readonly expected: string;
}
