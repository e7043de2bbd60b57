import * as vitest from 'vitest';
import * as endpointDirectory from './EndpointDirectory.js';
import type * as types from './Types.js';

const { expect, test } = vitest;

function endpoint(id: string, availabilityZone: string, draining = false): types.IEndpoint {
  return {
    id,
    service: 's',
    address: `10.0.0.1:${id.charCodeAt(0)}`,
    availabilityZone,
    slots: 1,
    draining,
  };
}

function makeDirectory(): endpointDirectory.EndpointDirectory {
  const directory = new endpointDirectory.EndpointDirectory();
  directory.replace({ revision: 1, endpoints: [endpoint('x', 'a'), endpoint('y', 'b')] });
  return directory;
}

function readyIds(directory: endpointDirectory.EndpointDirectory): readonly string[] {
  return directory.ready('s').map(({ id }) => id);
}

test('endpoints of a closed zone are listed and get nothing new, until the zone returns', () => {
  const directory = makeDirectory();
  let changes = 0;
  directory.onChange(() => {
    changes += 1;
  });
  expect(directory.closeZones({ revision: 1, zones: ['a'] })).toBe(true);
  expect(readyIds(directory)).toEqual(['y']);
  const [x, y] = directory.current.endpoints as [types.IEndpoint, types.IEndpoint];
  expect([directory.isOpen(x), directory.isOpen(y)]).toEqual([false, true]);
  expect([directory.isOpenAddress(x.address), directory.isOpenAddress(y.address)]).toEqual([
    false,
    true,
  ]);
  expect(directory.hasAddress(x.address)).toBe(true);
  directory.replace({ revision: 2, endpoints: [...directory.current.endpoints] });
  expect(readyIds(directory)).toEqual(['y']);
  directory.closeZones({ revision: 2, zones: [] });
  expect(readyIds(directory)).toEqual(['x', 'y']);
  expect(changes).toBe(3);
});

test('an older set of closed zones never replaces a newer one', () => {
  const directory = makeDirectory();
  directory.closeZones({ revision: 3, zones: ['a'] });
  expect(directory.closeZones({ revision: 2, zones: [] })).toBe(false);
  expect(directory.closeZones({ revision: 3, zones: [] })).toBe(false);
  expect(readyIds(directory)).toEqual(['y']);
});

test('a service is out of service only if all its endpoints but draining ones are in closed zones', () => {
  const directory = makeDirectory();
  directory.closeZones({ revision: 1, zones: ['a'] });
  expect(directory.isOutOfService('s')).toBe(false);
  directory.closeZones({ revision: 2, zones: ['a', 'b'] });
  expect(directory.isOutOfService('s')).toBe(true);
  expect(directory.isOutOfService('other')).toBe(false);
  directory.replace({ revision: 2, endpoints: [endpoint('x', 'a', true)] });
  expect(directory.isOutOfService('s')).toBe(false);
});

test('an endpoint that drains is leaving until it is listed as ready, also when the list no longer has it', () => {
  const directory = makeDirectory();
  const isLeaving = (): boolean => directory.isLeaving('x');
  expect(isLeaving()).toBe(false);
  directory.replace({ revision: 2, endpoints: [endpoint('x', 'a', true), endpoint('y', 'b')] });
  expect([isLeaving(), directory.isLeaving('y')]).toEqual([true, false]);
  directory.replace({ revision: 3, endpoints: [endpoint('y', 'b')] });
  directory.replace({ revision: 4, endpoints: [] });
  expect([isLeaving(), directory.isLeaving('y')]).toEqual([true, false]);
  directory.replace({ revision: 5, endpoints: [endpoint('x', 'a')] });
  expect(isLeaving()).toBe(false);
});
