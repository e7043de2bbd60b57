import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as vitest from 'vitest';
import * as seededRandom from '../../common/SeededRandom.js';
import * as systemClock from '../../common/SystemClock.js';
import * as recordingLog from '../../common/testing/RecordingLogService.js';
import * as nodeDisk from '../log/NodeDisk.js';
import * as verify from '../log/Verify.js';
import * as replica from './Replica.js';
import * as registerStateMachine from './testing/RegisterStateMachine.js';
import * as singleReplicaTransport from './testing/SingleReplicaTransport.js';

const { afterEach, beforeEach, describe, expect, it } = vitest;

describe('Replica in a group of one on a real disk', () => {
  let dataDir: string;

  beforeEach(async () => {
    dataDir = await fs.mkdtemp(path.join(os.tmpdir(), 'anvildeck-replica-'));
  });

  afterEach(async () => {
    await fs.rm(dataDir, { recursive: true, force: true });
  });

  function open(stateMachine: registerStateMachine.RegisterStateMachine): Promise<replica.Replica> {
    const members = [{ id: 'c1', address: '127.0.0.1:1' }];
    const tuning = { heartbeatMs: 5, electionTimeoutMs: 10, diskReserveBytes: 1 };
    return replica.Replica.open(
      { id: 'c1', dataDir, members, tuning },
      {
        clock: new systemClock.SystemClock(),
        random: new seededRandom.SeededRandom(3),
        logService: new recordingLog.RecordingLogService(),
        stateMachine,
        transport: new singleReplicaTransport.SingleReplicaTransport(),
        disk: new nodeDisk.NodeDisk(),
      },
    );
  }

  async function waitForLeadership(log: replica.Replica): Promise<void> {
    await new Promise<void>((resolve) => {
      log.onLeadership(() => resolve());
    });
  }

  it('keeps acknowledged commands across a restart, and locks its data folder while open', async () => {
    const first = await open(new registerStateMachine.RegisterStateMachine());
    await waitForLeadership(first);
    const count = 200;
    await Promise.all(
      Array.from({ length: count }, (each, at) =>
        first.propose(registerStateMachine.encodeWrite(`k${at % 5}`, `${at}`)),
      ),
    );
    expect(first.syncs).toBeLessThan(count / 10);
    await expect(open(new registerStateMachine.RegisterStateMachine())).rejects.toThrow(
      'in use by another process',
    );
    first.dispose();
    expect(await verify.verifyDataFolder(dataDir)).toEqual([]);
    const state = new registerStateMachine.RegisterStateMachine();
    const second = await open(state);
    await waitForLeadership(second);
    await second.readBarrier();
    expect(state.get('k4')).toBe('199');
    second.dispose();
  });
});
