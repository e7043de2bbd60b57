import * as vitest from 'vitest';
import * as seededRandom from '../common/SeededRandom.js';
import * as virtualClock from '../common/testing/VirtualClock.js';
import * as relayExchange from './RelayExchange.js';

const { expect, test, vi } = vitest;
const ENTRY_VMS = 206;
const MAX_RELAYS = 16;
const INTERVAL_MS = 2000;

function relayOf(vm: number): string {
  return `10.0.0.${vm}:7`;
}

test('drawing relays for all VMs does not take time that grows with the square of their number', async () => {
  const clock = new virtualClock.VirtualClock();
  const random = new seededRandom.SeededRandom(1);
  const draws = [vi.spyOn(random, 'next'), vi.spyOn(random, 'nextInt')];
  const received = new Map<number, readonly string[]>();
  const sessions = Array.from({ length: ENTRY_VMS }, (_, vm) => ({
    relay: relayOf(vm),
    send: (message: { readonly kind: string; readonly relays?: readonly string[] }) => {
      received.set(vm, message.relays ?? []);
    },
  }));
  const exchange = new relayExchange.RelayExchange(
    clock,
    random,
    () => sessions,
    () => {},
  );
  await clock.advance(INTERVAL_MS);
  const drawCount = draws.reduce((sum, { mock }) => sum + mock.calls.length, 0);
  expect(drawCount).toBeLessThanOrEqual((ENTRY_VMS + 1) * (MAX_RELAYS + 1));
  expect(received.size).toBe(ENTRY_VMS);
  received.forEach((relays, vm) => {
    expect(new Set(relays).size).toBe(MAX_RELAYS);
    expect(relays).not.toContain(relayOf(vm));
  });
  const used = new Set([...received.values()].flat());
  expect(used.size).toBe(ENTRY_VMS);
  exchange.dispose();
});

test('a VM gets all other relays where there are few', () => {
  const clock = new virtualClock.VirtualClock();
  const sessions = [0, 1, 2].map((vm) => ({ relay: relayOf(vm), send: () => {} }));
  const exchange = new relayExchange.RelayExchange(
    clock,
    new seededRandom.SeededRandom(1),
    () => sessions,
    () => {},
  );
  const received: string[][] = [];
  exchange.greet(relayOf(0), (message) =>
    received.push([...(message as { readonly relays: readonly string[] }).relays]),
  );
  expect(received.map((relays) => relays.sort())).toEqual([[relayOf(1), relayOf(2)]]);
  exchange.dispose();
});
