import * as vitest from 'vitest';
import * as seededRandom from '../common/SeededRandom.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as virtualClock from '../common/testing/VirtualClock.js';
import type * as crashTracker from '../entry/stage/CrashTracker.js';
import * as membershipTable from './MembershipTable.js';
import * as peerExchange from './PeerExchange.js';
import * as memoryExchange from './testing/MemoryExchange.js';
import * as types from './Types.js';

const SEED = 17;
/** HTTP/2 and TCP around one message and its answer, an assumption: two frames of headers and acknowledgements. */
const OVERHEAD_BYTES = 150;
const MAX_BYTES_PER_SECOND = 6_000;

interface IVm {
  readonly id: string;
  readonly table: membershipTable.MembershipTable;
  readonly exchange: peerExchange.PeerExchange;
  readonly blames: crashTracker.IBlameHint[];
  readonly versions: number[];
  readonly heard: types.IUsage[];
}

class Network {
  readonly clock = new virtualClock.VirtualClock();

  readonly memory = new memoryExchange.MemoryExchange(this.clock);

  readonly vms: readonly IVm[];

  constructor(size: number) {
    const options = types.DEFAULT_MEMBERSHIP_OPTIONS;
    const metrics = new recordingMetrics.RecordingMetricsService();
    this.vms = Array.from({ length: size }, (unused, index) => {
      const id = `entry-${index}`;
      const log = new recordingLog.RecordingLogService();
      const table = new membershipTable.MembershipTable(options, this.clock, log, metrics);
      const blames: crashTracker.IBlameHint[] = [];
      const versions: number[] = [];
      const heard: types.IUsage[] = [];
      const sources: peerExchange.IExchangeSources = {
        table,
        configVersion: () => (index === 0 ? 9 : 8),
        onPeerVersion: (version) => versions.push(version),
        onBlame: (hint) => blames.push(hint),
        usages: () => usagesOf(index),
        onUsages: (usages) => heard.splice(0, heard.length, ...usages),
      };
      const random = new seededRandom.SeededRandom(SEED + index);
      const transport = this.memory.transport(id);
      const { clock } = this;
      const parts = [id, options, transport, sources, clock, random, metrics] as const;
      const exchange = new peerExchange.PeerExchange(...parts);
      return { id, table, exchange, blames, versions, heard };
    });
    const peers = this.vms.map(({ id }) => ({ id, address: id }));
    this.vms.forEach((vm) => vm.exchange.updatePeers(peers));
  }

  dispose(): void {
    this.vms.forEach((vm) => vm.exchange.dispose());
  }
}

function usagesOf(index: number): readonly types.IUsage[] {
  return Array.from({ length: 24 }, (unused, number) => ({
    pool: `pool-${number % 4}`,
    workspace: `workspace-${index % 10}-${number}`,
    patient: number % 2 === 0,
    rate: 100 + number,
  }));
}

vitest.describe('PeerExchange', () => {
  vitest.it.each([12, 890])('tells %i VMs of a leaving endpoint well within 3 s', async (size) => {
    const network = new Network(size);
    const [first] = network.vms;
    const vm = { name: 'llm-1', address: 'x', state: 'leaving' as const };
    first?.table.applyList({ generation: 2, vms: [vm] });
    await network.clock.advance(100);
    const told = network.vms.filter(({ table }) => !table.accepts('llm-1')).length;
    network.dispose();
    vitest.expect(told).toBe(size);
  });

  vitest.it('keeps each VM under 6 KB a second at 890 VMs', async () => {
    const network = new Network(890);
    const seconds = 3;
    await network.clock.advance(seconds * 1_000);
    const perSecond = network.vms.map(({ exchange }) => {
      const { sentBytes, receivedBytes, messages } = exchange.traffic;
      return (sentBytes + receivedBytes + messages * 2 * OVERHEAD_BYTES) / seconds;
    });
    network.dispose();
    const mean = perSecond.reduce((sum, bytes) => sum + bytes, 0) / perSecond.length;
    vitest.expect(mean).toBeLessThan(MAX_BYTES_PER_SECOND);
    vitest.expect(mean).toBeGreaterThan(1_000);
  });

  vitest.it(
    'passes blame on once to each VM, and to one that was cut off when it is back',
    async () => {
      const network = new Network(12);
      network.memory.cutOff.add('entry-5');
      const hint = { fingerprint: 'f', crashes: ['llm-1/1'], cleared: false };
      const told = network.vms[0]?.exchange.announce([hint]);
      await network.clock.advance(50);
      await told;
      const others = network.vms.slice(1).filter(({ id }) => id !== 'entry-5');
      vitest.expect(others.every(({ blames }) => blames.length === 1)).toBe(true);
      vitest.expect(network.vms[5]?.blames).toHaveLength(0);
      network.memory.cutOff.clear();
      await network.clock.advance(5_000);
      vitest.expect(network.vms[5]?.blames).toHaveLength(1);
      const before = network.vms.map(({ exchange }) => exchange.traffic.messages);
      await network.clock.advance(10_000);
      const after = network.vms.map(({ exchange }) => exchange.traffic.messages);
      const rates = after.map((messages, index) => (messages - (before[index] ?? 0)) / 10);
      network.dispose();
      vitest.expect(Math.max(...rates)).toBeLessThan(4);
    },
  );

  vitest.it('estimates the usage of all from that of the neighbours', async () => {
    const network = new Network(12);
    await network.clock.advance(20_000);
    const heard = network.vms[3]?.heard ?? [];
    network.dispose();
    const total = heard.reduce((sum, usage) => sum + usage.rate, 0);
    const one = usagesOf(0).reduce((sum, usage) => sum + usage.rate, 0);
    vitest.expect(total).toBeGreaterThan(0.5 * 11 * one);
    vitest.expect(total).toBeLessThan(1.1 * 11 * one);
    vitest.expect(Math.max(...(network.vms[3]?.versions ?? []))).toBe(9);
  });
});
