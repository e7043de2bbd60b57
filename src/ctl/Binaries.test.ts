import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as vitest from 'vitest';

const RUN_TIMEOUT_MS = 30_000;

function runBinary(folder: string, ...args: readonly string[]) {
  const file = path.join('dist', 'src', folder, 'main.js');
  const options = { encoding: 'utf8', timeout: RUN_TIMEOUT_MS } as const;
  return childProcess.spawnSync(process.execPath, [file, ...args], options);
}

vitest.describe('binaries', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'binaries-'));
  vitest.afterAll(() => fs.rmSync(folder, { recursive: true }));

  vitest.it.each(['entry', 'control', 'ctl', 'standin', 'load'])(
    '%s prints its help and version with exit code 0',
    (name) => {
      const help = runBinary(name, '--help');
      vitest
        .expect([help.status, help.stdout])
        .toEqual([0, vitest.expect.stringMatching(/^Usage: anvildeck/)]);
      const version = runBinary(name, '--version');
      vitest
        .expect([version.status, version.stdout])
        .toEqual([0, vitest.expect.stringMatching(/^\d+\.\d+\.\d+\n$/)]);
    },
  );

  vitest.it.each(['entry', 'control', 'standin'])(
    '%s --check reports unknown keys and exits with 2',
    (name) => {
      const file = path.join(folder, `${name}.toml`);
      fs.writeFileSync(file, '\ncolour = "red"\n');
      const result = runBinary(name, '--config', file, '--check');
      vitest.expect(result.status).toBe(2);
      vitest.expect(result.stderr).toContain(`${file}:2: colour: `);
      // One run reports all faults of a file.
      vitest.expect(result.stderr.trim().split('\n').length).toBeGreaterThan(1);
    },
  );

  vitest.it('ctl exits with 2 for an invalid command line', () => {
    vitest.expect(runBinary('ctl', 'validate').status).toBe(2);
    vitest.expect(runBinary('ctl', 'no-such-command').status).toBe(2);
    vitest.expect(runBinary('ctl', 'report', '2026-Q9', '--control', '127.0.0.1:1').status).toBe(2);
  });
});
