import * as fs from 'node:fs';
import type * as published from 'anvildeck/declare';
import * as vitest from 'vitest';
import * as declare from './Declare.js';

// Type-checks that the published typings and the library are assignable to each other, in both directions.
const asPublished: typeof published = declare;
const asBuilt: typeof declare = asPublished;

const zones = declare.zones('north', ['north-a', 'north-b']);
const lookup = declare.interactive('lookup', { deadlineMs: 500, costTarget: 0.5 });

function createPool<K extends published.PoolKind>(name: string, kind: K, port: number) {
  const addresses = [`127.0.0.1:${port}`, `127.0.0.1:${port + 1}`, `127.0.0.1:${port + 2}`];
  return declare.pool(name, kind, { endpoints: declare.endpoints(name, { addresses, zones }) });
}

vitest.describe('declare', () => {
  vitest.it('publishes exactly the functions that the library exports', () => {
    const typings = fs.readFileSync('typings/declare.d.ts', 'utf8');
    const names = [...typings.matchAll(/^export function (\w+)/gm)].map((match) => match[1]);
    vitest.expect(names.sort()).toEqual(Object.keys(asBuilt).sort());
  });

  vitest.it('builds a declaration that is equal after rendering and parsing', () => {
    const encoders = createPool('encoders', 'encoding', 9001);
    const retrievers = createPool('retrievers', 'retrieval', 9011);
    const llm = createPool('llm', 'generation', 9021);
    const register = createPool('register', 'service', 9031);
    const declaration = declare.declaration({
      name: 'example',
      zones,
      workspaces: [declare.workspace('acme')],
      kinds: [lookup],
      pools: [encoders, retrievers, llm, register],
      pipelines: [
        declare.pipeline('answer', {
          kind: lookup,
          stages: [
            declare.encoding({ pool: encoders }),
            declare.retrieval({ pool: retrievers }),
            declare.generation({ pool: llm, model: 'writer', maxTokens: 40 }),
          ],
        }),
      ],
      services: [
        declare.service('register', {
          pool: register,
          routes: [declare.atMostOnce('POST', 'postings', lookup, ['account'])],
        }),
      ],
    });
    vitest
      .expect(declaration.pools[0]?.endpoints.map(({ zone }) => zone))
      .toEqual(['north-a', 'north-b', 'north-a']);
    vitest.expect(declare.parse(declare.render(declaration))).toEqual(declaration);
  });

  vitest.it('rejects an invalid declaration and reports all faults', () => {
    const pool = createPool('register', 'service', 9001);
    const buildInvalid = () =>
      declare.declaration({
        name: 'Not a name',
        zones,
        workspaces: [declare.workspace('acme', { share: -1 })],
        kinds: [lookup],
        pools: [pool, pool],
      });
    vitest
      .expect(buildInvalid)
      .toThrow(/name: is not a valid name.*\n.*share: .*\n.*pools\[1\]\.name/);
  });
});
