import * as emitter from '../../common/Emitter.js';
import type * as commonTypes from '../../common/Types.js';
import type * as streamVersions from '../../coordination/StreamVersions.js';
import * as versionRecord from '../../coordination/VersionRecord.js';
import type * as controlTypes from '../Types.js';
import * as documentState from './DocumentState.js';

/** Maximum number of streams in a snapshot, the latest first; about 250 KB. */
const MAX_SNAPSHOT_STREAMS = 10_000;
const RESULT = Buffer.from('recorded', 'latin1');

/** A snapshot, JSON in UTF-8. Builds that know no versions read the document alone. */
interface ISnapshot extends documentState.IDocument {
  readonly versions?: versionRecord.IVersionRecord;
}

/**
 * State machine of a control VM that plans requests: the routing document, and the software versions of streams, which
 * `streams` receives.
 */
export class SharedState implements controlTypes.IStateMachine, commonTypes.IDisposable {
  /** The routing document. */
  readonly document = new documentState.DocumentState();

  private readonly unknownRecordEmitter = new emitter.Emitter<number>();

  /** Fires with the index of a command that this build does not know and leaves out. */
  readonly onUnknownRecord = this.unknownRecordEmitter.event;

  /** Starts without a document. */
  constructor(private readonly streams: streamVersions.StreamVersions) {}

  /** @inheritdoc */
  apply(index: number, command: Uint8Array): Uint8Array {
    if (!versionRecord.isRecord(command)) {
      return this.document.apply(index, command);
    }
    const record = versionRecord.decode(command);
    if (record === undefined) {
      this.unknownRecordEmitter.fire(index);
    } else {
      this.adopt(record);
    }
    return RESULT;
  }

  /** @inheritdoc */
  snapshot(): Uint8Array {
    const { current } = this.document;
    // Nothing is recorded before the first document.
    if (current === undefined) {
      return new Uint8Array();
    }
    const snapshot: ISnapshot = { ...current, versions: this.versions };
    return Buffer.from(JSON.stringify(snapshot));
  }

  /** @inheritdoc */
  restore(snapshot: Uint8Array): void {
    this.document.restore(snapshot);
    if (snapshot.length > 0) {
      const { versions } = JSON.parse(Buffer.from(snapshot).toString('utf8')) as ISnapshot;
      if (versions !== undefined) {
        this.adopt(versions);
      }
    }
  }

  /** @inheritdoc */
  dispose(): void {
    this.document.dispose();
    this.unknownRecordEmitter.dispose();
  }

  private get versions(): versionRecord.IVersionRecord {
    const latest = this.streams.latest(MAX_SNAPSHOT_STREAMS);
    return {
      services: Object.fromEntries(this.streams.loggedVersions),
      streams: versionRecord.groupByVersion(
        latest.map(({ requestId, version }) => [version, requestId]),
      ),
    };
  }

  private adopt({ services, streams }: versionRecord.IVersionRecord): void {
    Object.entries(services).forEach(([service, versions]) =>
      this.streams.recordLogged(service, versions),
    );
    Object.entries(streams).forEach(([version, ids]) =>
      this.streams.recordLoggedStreams(version, ids),
    );
  }
}
