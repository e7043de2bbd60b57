import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as vitest from 'vitest';
import * as emitter from '../../common/Emitter.js';
import * as recordingLog from '../../common/testing/RecordingLogService.js';
import * as textDelta from '../../common/wire/TextDelta.js';
import * as sample from '../../config/testing/SampleDeclaration.js';
import * as configurationFile from './ConfigurationFile.js';
import * as configurationService from './ConfigurationService.js';
import type * as controlFeed from './ControlFeed.js';
import type * as entryLease from './EntryLease.js';

const { describe, expect, it } = vitest;

const TEXT = sample.SAMPLE_TOML;
const NEXT_TEXT = TEXT.replace('share = 2', 'share = 3');

class FakeFeed {
  readonly updates = new emitter.Emitter<controlFeed.Update>();

  readonly onUpdate = this.updates.event;

  readonly restarts: number[] = [];

  isConnected = false;

  setHeldVersion(): void {}

  restart(held: number): void {
    this.restarts.push(held);
  }

  full(version: number, text: string): void {
    const configuration = {
      version,
      text,
      operator: '',
      time: 0,
      submissionId: '',
      baseVersion: 0,
    };
    this.updates.fire({
      configuration,
      delta: null,
      quarantine: null,
      zones: null,
      currentVersion: version,
    });
  }

  delta(baseVersion: number, version: number, before: string, after: string): void {
    const delta = { ...textDelta.makeDelta(before, after), baseVersion, version };
    this.updates.fire({
      configuration: null,
      delta,
      quarantine: null,
      zones: null,
      currentVersion: version,
    });
  }
}

function start(
  file?: configurationFile.ConfigurationFile,
  peers?: configurationService.IPeerConfigurations,
) {
  const feed = new FakeFeed();
  const reported: number[] = [];
  const lease = {
    reportVersion: (version: number) => reported.push(version),
    held: true,
    newestVersion: 0,
  };
  const service = new configurationService.ConfigurationService(
    feed as unknown as controlFeed.ControlFeed,
    lease as unknown as entryLease.EntryLease,
    new recordingLog.RecordingLogService(),
    file,
    peers,
  );
  return { feed, lease, reported, service };
}

describe('ConfigurationService', () => {
  it('applies full states and deltas, and ignores older versions', () => {
    const { feed, reported, service } = start();
    expect(service.ready).toBe(false);
    feed.full(4, TEXT);
    expect(service.ready).toBe(true);
    feed.delta(4, 5, TEXT, NEXT_TEXT);
    expect(service.current?.declaration.workspaces[0]?.share).toBe(3);
    feed.full(4, TEXT);
    expect(service.current?.version).toBe(5);
    expect(reported).toEqual([4, 5]);
  });

  it('knows that it holds the newest version only while its lease is valid and names no newer one', () => {
    const { feed, lease, service } = start();
    expect(service.isCurrent).toBe(false);
    feed.full(4, TEXT);
    expect(service.isCurrent).toBe(true);
    lease.newestVersion = 5;
    expect(service.isCurrent).toBe(false);
    feed.delta(4, 5, TEXT, NEXT_TEXT);
    expect(service.isCurrent).toBe(true);
    lease.held = false;
    expect(service.isCurrent).toBe(false);
  });

  it('requests the full state when a delta has another base version', () => {
    const { feed, service } = start();
    feed.full(4, TEXT);
    feed.delta(5, 6, NEXT_TEXT, TEXT);
    expect(feed.restarts).toEqual([0]);
    expect(service.current?.version).toBe(4);
  });

  it('restores the newest version after a restart, and is ready only after its confirmation', () => {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'anvildeck-entry-'));
    const file = new configurationFile.ConfigurationFile(folder);
    start(file).feed.full(7, TEXT);
    const { feed, service } = start(file);
    expect(service.current?.version).toBe(7);
    expect(service.ready).toBe(false);
    feed.full(6, NEXT_TEXT);
    expect(service.current?.version).toBe(7);
    expect(service.ready).toBe(true);
    fs.writeFileSync(path.join(folder, 'configuration.json'), '{"version":9,"text":"torn');
    expect(file.read()).toBeUndefined();
    fs.rmSync(folder, { recursive: true });
  });

  it('uses the newest version among its peers while the group is unreachable', () => {
    const changed = new emitter.Emitter<void>();
    const peers = { newest: () => ({ version: 3, text: TEXT }), onChange: changed.event };
    const { service } = start(undefined, peers);
    expect(service.ready).toBe(false);
    changed.fire();
    expect(service.ready).toBe(true);
    expect(service.current?.version).toBe(3);
  });
});
