import * as vitest from 'vitest';
import * as emitter from '../../common/Emitter.js';
import * as recordingLog from '../../common/testing/RecordingLogService.js';
import type * as zoneTypes from '../../zones/Types.js';
import type * as controlFeed from './ControlFeed.js';
import * as zoneService from './ZoneService.js';

vitest.test('takes newer sets of closed zones only, and each once', () => {
  const updates = new emitter.Emitter<controlFeed.Update>();
  const service = new zoneService.ZoneService(
    { onUpdate: updates.event },
    new recordingLog.RecordingLogService(),
  );
  const seen: zoneTypes.IClosedZones[] = [];
  service.onChange((closed) => seen.push(closed));
  const send = (zones: zoneTypes.IClosedZones | null): void =>
    updates.fire({
      configuration: null,
      delta: null,
      quarantine: null,
      currentVersion: 1,
      zones: zones && { ...zones, zones: [...zones.zones] },
    });
  send(null);
  send({ revision: 2, zones: ['a'] });
  send({ revision: 2, zones: ['a'] });
  send({ revision: 1, zones: [] });
  send({ revision: 3, zones: [] });
  vitest.expect(seen).toEqual([
    { revision: 2, zones: ['a'] },
    { revision: 3, zones: [] },
  ]);
  vitest.expect(service.current.revision).toBe(3);
});
