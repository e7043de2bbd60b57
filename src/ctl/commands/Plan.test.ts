import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as vitest from 'vitest';
import * as erlangC from '../../staffing/ErlangC.js';
import * as plan from './Plan.js';

const EXAMPLE = 'examples/kalinaw/kalinaw.toml';

vitest.describe('plan', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'plan-'));
  vitest.afterAll(() => fs.rmSync(folder, { recursive: true }));

  function planFor(load: string) {
    const file = path.join(folder, 'load.toml');
    fs.writeFileSync(file, load);
    return plan.plan(EXAMPLE, { load: file, json: true });
  }

  vitest.it('sizes pools by slots per endpoint and for the loss of a zone', () => {
    const output = planFor('[[pools]]\nname = "llm"\nrate = 4\nservice_ms = 2500\nslots = 4\n');
    const { pools } = JSON.parse(output.text) as { pools: Record<string, number>[] };
    const { servers } = erlangC.requiredServers(10, 0.05);
    const needed = Math.ceil(servers / 4);
    vitest.expect(pools[0]).toMatchObject({ offeredLoad: 10, endpoints: needed, declared: 8 });
    // With four zones, the loss of one removes a quarter of the endpoints.
    vitest.expect((pools[0]?.withZoneLost ?? 0) * 0.75).toBeGreaterThanOrEqual(needed);
    vitest.expect(output.exitCode).toBe(0);
  });

  vitest.it('exits with 1 when a pool is too small or not declared', () => {
    const small = planFor('[[pools]]\nname = "llm"\nrate = 40\nservice_ms = 2500\n');
    vitest.expect(small.exitCode).toBe(1);
    vitest.expect(small.text).toContain('"offeredLoad":100');
    const other = planFor('[[pools]]\nname = "tpu"\nrate = 1\nservice_ms = 10\n');
    vitest.expect(other.exitCode).toBe(1);
    vitest.expect(other.text).toContain('"pool":"tpu"');
  });

  vitest.it('exits with 1 and reports findings for an invalid load file', () => {
    const output = planFor('[[pools]]\nname = "llm"\nrate = 0\nservice = 3\n');
    vitest.expect(output.exitCode).toBe(1);
    vitest.expect(output.text).toMatch(/pools\[0\]\.rate: .*more than 0/);
  });
});
