import type * as control from '#wire/control.js';
import * as disposableStore from '../../common/DisposableStore.js';
import * as wakeups from '../../common/Wakeup.js';
import type * as commonTypes from '../../common/Types.js';
import * as messages from '../../common/wire/Messages.js';
import * as textDelta from '../../common/wire/TextDelta.js';
import * as controlState from '../state/ControlState.js';
import type * as stateTypes from '../state/Types.js';

type Update = control.wire.WatchUpdate.$Properties;

/** Revisions that a watcher has; those of zones begin at 0, before the first change. */
interface ISentRevisions {
  readonly quarantine: number;
  readonly zones: number;
}

/** Receives the updates of one watcher. */
export interface IWatchSink {
  /** Sends an update; resolves when the stream accepts another one. */
  send(update: Update): Promise<void>;
  /** Aborts when updates are no longer wanted. */
  readonly signal: AbortSignal;
}

/** Sends watchers new configurations, zones out of service and quarantine changes; a slow watcher skips intermediate versions. */
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
    store.add(this.state.zones.onChange(notify));
    store.add(onAbort(sink.signal, notify));
    let sent: stateTypes.Configuration | undefined;
    let quarantineRevision = -1;
    let zonesRevision = 0;
    let first = true;
    try {
      while (!sink.signal.aborted) {
        const held = first ? heldVersion : 0;
        const revisions = { quarantine: quarantineRevision, zones: zonesRevision };
        const update = this.updateFor(sent, held, revisions, first);
        first = false;
        sent = this.state.configuration.current ?? sent;
        quarantineRevision = update?.quarantine?.revision ?? quarantineRevision;
        zonesRevision = update?.zones?.revision ?? zonesRevision;
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
    sentRevisions: ISentRevisions,
    first: boolean,
  ): Update | undefined {
    const { current } = this.state.configuration;
    const quarantine = this.state.quarantine.snapshot();
    const quarantineChanged = (quarantine.revision ?? 0) !== sentRevisions.quarantine;
    const zones = this.state.zones.current;
    const zonesChanged = zones.revision !== sentRevisions.zones;
    const version = current?.version ?? 0;
    const configurationChanged =
      current !== undefined && version > Math.max(sent?.version ?? 0, heldVersion);
    if (!first && !configurationChanged && !quarantineChanged && !zonesChanged) {
      return undefined;
    }
    return {
      currentVersion: version,
      ...(configurationChanged ? configurationUpdate(sent, current) : {}),
      ...(zonesChanged ? { zones: controlState.asClosedZones(zones) } : {}),
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
