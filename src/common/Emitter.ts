import type * as types from './Types.js';

/**
 * Emits one kind of event to any number of listeners, synchronously and in order of subscription.
 *
 * @example
 * const emitter = new Emitter<number>();
 * const subscription = emitter.event((value) => use(value));
 * emitter.fire(1);
 * subscription.dispose();
 */
export class Emitter<T> implements types.IDisposable {
  private readonly listeners = new Set<(value: T) => void>();

  /** Subscribes a listener; disposing the returned subscription removes it. */
  readonly event: types.IEvent<T> = (listener) => {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  };

  /** Calls every current listener with the value; listeners added during the call are not called. */
  fire(value: T): void {
    [...this.listeners].forEach((listener) => listener(value));
  }

  /** @inheritdoc */
  dispose(): void {
    this.listeners.clear();
  }
}
