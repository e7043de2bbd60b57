import * as vitest from 'vitest';
import * as zod from 'zod';
import * as findingsError from '../FindingsError.js';
import * as settings from './Settings.js';

const schema = zod.strictObject({ listen: zod.string(), level: zod.enum(['info', 'warn']) });

function findingsOf(text: string): readonly string[] {
  try {
    settings.parseSettings('a.toml', text, schema);
  } catch (err) {
    return (err as findingsError.FindingsError).findings.map(findingsError.formatFinding);
  }
  return [];
}

vitest.describe('parseSettings', () => {
  vitest.it('reports every fault with its line and path', () => {
    const lines = findingsOf('listen = 3\nlevel = "loud"\nextra = true\n');
    vitest.expect(lines).toHaveLength(3);
    vitest.expect(lines.join('\n')).toContain('a.toml:1: listen');
    vitest.expect(lines.join('\n')).toContain('one of "info", "warn"');
    vitest.expect(lines.join('\n')).toContain('a.toml:3: extra');
  });

  vitest.it('reports the line of a syntax error', () => {
    vitest.expect(findingsOf('listen = "a"\nlevel = \n')[0]).toContain('a.toml:2');
  });

  vitest.it('reads snake_case names and uses them in findings', () => {
    const named = zod.strictObject({ dataDir: zod.string() });
    vitest.expect(settings.parseSettings('a.toml', 'data_dir = "x"', named).dataDir).toBe('x');
    vitest
      .expect(() => settings.parseSettings('a.toml', 'data_dir = 1\nother_key = 2', named))
      .toThrow(/a\.toml:1: data_dir[^]*a\.toml:2: other_key/);
  });

  vitest.it('accepts valid settings', () => {
    vitest.expect(findingsOf('listen = "a"\nlevel = "info"\n')).toEqual([]);
  });
});
