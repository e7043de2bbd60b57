import * as util from 'node:util';
import * as vitest from 'vitest';
import * as metricsService from './MetricsService.js';

function sizeOf(service: metricsService.MetricsService): number {
  return util.inspect(service, { depth: 6, maxArrayLength: null }).length;
}

vitest.describe('MetricsService', () => {
  vitest.it('does not retain metrics when no StatsD host is set', () => {
    const service = new metricsService.MetricsService({});
    service.count('refused', { reason: 'shed' });
    const before = sizeOf(service);
    for (let round = 0; round < 1000; round++) {
      service.count('refused', { reason: 'shed' });
      service.timing('latency', round);
    }
    vitest.expect(sizeOf(service)).toBe(before);
    service.dispose();
  });
});
