import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as vitest from 'vitest';
import * as sample from '../../config/testing/SampleDeclaration.js';
import * as validate from './Validate.js';

vitest.describe('validate', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'validate-'));
  vitest.afterAll(() => fs.rmSync(folder, { recursive: true }));

  function check(text: string, json: boolean) {
    const file = path.join(folder, 'declaration.toml');
    fs.writeFileSync(file, text);
    return validate.validate(file, { json });
  }

  vitest.it('exits with 0 for a valid declaration', () => {
    const output = check(sample.SAMPLE_TOML, false);
    vitest.expect(output.exitCode).toBe(0);
    vitest.expect(output.text).toContain('4 endpoints in 4 pools');
  });

  vitest.it('exits with 1 and reports every finding', () => {
    const text = sample.SAMPLE_TOML.replace('share = 2', 'share = 0\ncolour = "red"');
    const output = check(text, false);
    vitest.expect(output.exitCode).toBe(1);
    vitest.expect(output.text).toContain(':10: workspaces[0].colour: ');
    vitest.expect(output.text).toContain('2 findings');
    const json = JSON.parse(check(text, true).text) as { findings: { line: number }[] };
    vitest.expect(json.findings.map(({ line }) => line).sort()).toEqual([10, 9]);
  });

  vitest.it('reports an unreadable file as a finding', () => {
    const output = validate.validate(path.join(folder, 'none.toml'), {});
    vitest.expect(output.exitCode).toBe(1);
    vitest.expect(output.text).toContain('cannot be read (ENOENT)');
  });
});
