import * as commander from 'commander';
import * as vitest from 'vitest';
import * as manualClock from '../../common/testing/ManualClock.js';
import * as sample from '../../config/testing/SampleDeclaration.js';
import type * as controlClient from '../../control/client/ControlClient.js';
import * as usageError from '../UsageError.js';
import * as zone from './Zone.js';

const { beforeEach, describe, expect, it } = vitest;

describe('anvildeckctl zone', () => {
  let executed: unknown[];
  let closed: string[];
  let output: string;

  beforeEach(() => {
    executed = [];
    closed = [];
    output = '';
  });

  async function run(...args: string[]): Promise<void> {
    const client = {
      query: async (query: Record<string, unknown>) =>
        'zones' in query
          ? { zones: { revision: 1, zones: closed } }
          : { configuration: { text: sample.SAMPLE_TOML } },
      execute: async (command: unknown) => {
        executed.push(command);
      },
      dispose: () => {},
    } as unknown as controlClient.ControlClient;
    const program = new commander.Command().exitOverride();
    zone.addZone(program, {
      clock: new manualClock.ManualClock(),
      connect: () => client,
      write: (text) => {
        output += text;
      },
    });
    await program.parseAsync(['node', 'ctl', 'zone', ...args]);
  }

  it('drains and restores a declared zone, with the reason', async () => {
    await run('drain', 'zone-a', '--reason', 'power');
    await run('restore', 'zone-a', '--reason', 'done');
    expect(executed).toEqual([
      { zoneOrder: { zone: 'zone-a', closed: true, reason: 'power' } },
      { zoneOrder: { zone: 'zone-a', closed: false, reason: 'done' } },
    ]);
    expect(output).toBe('zone-a gets no new requests\nzone-a gets requests again\n');
  });

  it('refuses to drain a zone that is not declared, and restores one that no longer is', async () => {
    await expect(run('drain', 'zone-x', '--reason', 'r')).rejects.toThrow(usageError.UsageError);
    await run('restore', 'zone-x', '--reason', 'r');
    expect(executed).toEqual([{ zoneOrder: { zone: 'zone-x', closed: false, reason: 'r' } }]);
  });

  it('lists the zones, and those out of service that are no longer declared', async () => {
    closed = ['zone-a', 'zone-x'];
    await run('list');
    expect(output).toMatch(/^zone-a {2}out of service {2}\d+ endpoints$/m);
    expect(output).toMatch(/^zone-x {2}out of service {2}0 endpoints$/m);
    [closed, output] = [[], ''];
    await run('list');
    expect(output).toMatch(/^zone-a {2}in service {6}\d+ endpoints\n$/);
  });
});
