import * as fs from 'node:fs';
import * as path from 'node:path';
import * as vitest from 'vitest';
import * as metricsPage from './MetricsPage.js';

const ROOT = path.join(import.meta.dirname, '..', '..');

/** Names of all counters and gauges that the folders with documented metrics use. */
function metricNamesInCode(): ReadonlySet<string> {
  const folders = ['src/entry/stage', 'src/entry/limits', 'src/entry/routing', 'src/membership'];
  const files = folders.flatMap((folder) =>
    fs
      .readdirSync(path.join(ROOT, folder))
      .filter((file) => file.endsWith('.ts') && !file.endsWith('.test.ts'))
      .map((file) => fs.readFileSync(path.join(ROOT, folder, file), 'utf8')),
  );
  const calls = files.flatMap((text) => [...text.matchAll(/\.(?:count|gauge)\('([a-z_]+)'/g)]);
  return new Set(calls.map((call) => call[1] ?? ''));
}

vitest.describe('docs/METRICS.md', () => {
  vitest.it('matches the page rendered from the tables', () => {
    const page = fs.readFileSync(path.join(ROOT, 'docs', 'METRICS.md'), 'utf8');
    vitest.expect(page).toBe(metricsPage.renderMetricsPage());
  });

  vitest.it('documents exactly the counters and gauges that the code uses', () => {
    const documented = new Set(['retry', ...Object.keys(metricsPage.DECISION_METRICS)]);
    vitest.expect(metricNamesInCode()).toEqual(documented);
  });
});
