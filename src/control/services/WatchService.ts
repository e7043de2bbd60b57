import type * as control from '#wire/control.js';
import * as disposableStore from '../../common/DisposableStore.js';
import * as wakeups from '../../common/Wakeup.js';
import type * as commonTypes from '../../common/Types.js';
import * as messages from '../../common/wire/Messages.js';
import * as textDelta from '../../common/wire/TextDelta.js';
import type * as controlState from '../state/ControlState.js';
import type * as stateTypes from '../state/Types.js';

type Update = control.wire.WatchUpdate.$Properties;

/** Receives the updates of one watcher. */
export interface IWatchSink {
  /** Sends an update; resolves when the stream accepts another one. */
  send(update: Update): Promise<void>;
  /** Aborts when updates are no longer wanted. */
  readonly signal: AbortSignal;
}

/** Sends watchers new configurations and quarantine changes; a slow watcher skips intermediate versions. */
export class WatchService {
  /** Sends changes of `state`. */
  constructor(private readonly state: controlState.ControlState) {}

  /** Runs until the sink's signal aborts; `heldVersion` is the configuration version the watcher already has, or 0. */
  async run(heldVersion: number, sink: IWatchSink): Promise<void> {
    const store = new disposableStore.DisposableStore();
    const wakeup = new wakeups.Wakeup();
    const notify = (): void => wakeup.notify();
    store.add(this.state.configuration.onChange(notify));
    store.add(this.state.quarantine.onChange(notify));
    store.add(onAbort(sink.signal, notify));
    let sent: stateTypes.Configuration | undefined;
    let quarantineRevision = -1;
    let first = true;
    try {
      while (!sink.signal.aborted) {
        const update = this.updateFor(sent, first ? heldVersion : 0, quarantineRevision, first);
        first = false;
        sent = this.state.configuration.current ?? sent;
        quarantineRevision = update?.quarantine?.revision ?? quarantineRevision;
        if (update !== undefined) {
          await sink.send(update);
        }
        await wakeup.wait();
      }
    } finally {
      store.dispose();
    }
  }

  /** Returns the changes since the last update, or undefined when there are none; the first update is always sent. */
  private updateFor(
    sent: stateTypes.Configuration | undefined,
    heldVersion: number,
    quarantineRevision: number,
    first: boolean,
  ): Update | undefined {
    const { current } = this.state.configuration;
    const quarantine = this.state.quarantine.snapshot();
    const quarantineChanged = (quarantine.revision ?? 0) !== quarantineRevision;
    const version = current?.version ?? 0;
    const configurationChanged =
      current !== undefined && version > Math.max(sent?.version ?? 0, heldVersion);
    if (!first && !configurationChanged && !quarantineChanged) {
      return undefined;
    }
    return {
      currentVersion: version,
      ...(configurationChanged ? configurationUpdate(sent, current) : {}),
      ...(quarantineChanged ? { quarantine: { ...quarantine, crashes: [], reports: [] } } : {}),
    };
  }
}

/** Returns a delta against the text last sent, or the complete configuration when no text was sent. */
function configurationUpdate(
  sent: stateTypes.Configuration | undefined,
  next: stateTypes.Configuration,
): Update {
  if (sent === undefined || sent.text === '') {
    return { configuration: messages.asProperties(next) };
  }
  const delta = textDelta.makeDelta(sent.text, next.text);
  return { delta: { ...delta, baseVersion: sent.version, version: next.version } };
}

function onAbort(signal: AbortSignal, listener: () => void): commonTypes.IDisposable {
  signal.addEventListener('abort', listener);
  return { dispose: () => signal.removeEventListener('abort', listener) };
}
