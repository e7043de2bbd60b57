import * as emitter from '../../common/Emitter.js';
import type * as commonTypes from '../../common/Types.js';
import type * as streamVersions from '../../coordination/StreamVersions.js';
import * as versionRecord from '../../coordination/VersionRecord.js';
import type * as zoneTypes from '../../zones/Types.js';
import * as zoneRecord from '../../zones/ZoneRecord.js';
import * as zoneState from '../../zones/ZoneState.js';
import type * as controlTypes from '../Types.js';
import * as documentState from './DocumentState.js';

/** Maximum number of streams in a snapshot, the latest first; about 250 KB. */
const MAX_SNAPSHOT_STREAMS = 10_000;
const RESULT = Buffer.from('recorded', 'latin1');

/** In place of the document in a snapshot before the first one: builds that read the document alone replace it. */
const NO_DOCUMENT: documentState.IDocument = { version: 0, text: '' };

/** A snapshot, JSON in UTF-8. Builds that know no versions or zones read the document alone. */
interface ISnapshot extends documentState.IDocument {
  readonly versions?: versionRecord.IVersionRecord;
  readonly zones?: zoneTypes.IClosedZones;
}

/**
 * State machine of a control VM that plans requests: the routing document, the zones out of service, and the software
 * versions of streams, which `streams` receives.
 */
export class SharedState implements controlTypes.IStateMachine, commonTypes.IDisposable {
  /** The routing document. */
  readonly document = new documentState.DocumentState();

  /** Availability zones out of service. */
  readonly zones = new zoneState.ZoneState();

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
    const order = zoneRecord.decode(command);
    const record = versionRecord.decode(command);
    if (order !== undefined) {
      this.zones.apply(order);
    } else if (record !== undefined) {
      this.adopt(record);
    } else {
      this.unknownRecordEmitter.fire(index);
    }
    return RESULT;
  }

  /** @inheritdoc */
  snapshot(): Uint8Array {
    const { current } = this.document;
    const zones = this.zones.current;
    // No versions are recorded before the first document.
    if (current === undefined && zones.revision === 0) {
      return new Uint8Array();
    }
    const snapshot: ISnapshot = {
      ...(current ?? NO_DOCUMENT),
      versions: this.versions,
      ...(zones.revision === 0 ? {} : { zones }),
    };
    return Buffer.from(JSON.stringify(snapshot));
  }

  /** @inheritdoc */
  restore(snapshot: Uint8Array): void {
    if (snapshot.length === 0) {
      return;
    }
    const { text, versions, zones } = JSON.parse(
      Buffer.from(snapshot).toString('utf8'),
    ) as ISnapshot;
    if (text !== NO_DOCUMENT.text) {
      this.document.restore(snapshot);
    }
    if (versions !== undefined) {
      this.adopt(versions);
    }
    if (zones !== undefined) {
      this.zones.restore(zones);
    }
  }

  /** @inheritdoc */
  dispose(): void {
    this.document.dispose();
    this.zones.dispose();
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
