import * as vitest from 'vitest';
import * as manualClock from './ManualClock.js';

vitest.describe('ManualClock', () => {
  vitest.it('fires timers in order of due time, including timers set by callbacks', async () => {
    const clock = new manualClock.ManualClock(0);
    const fired: string[] = [];
    clock.setTimer(20, () => fired.push(`b@${clock.now()}`));
    clock.setTimer(10, () => {
      fired.push(`a@${clock.now()}`);
      clock.setTimer(5, () => fired.push(`c@${clock.now()}`));
    });
    const cancelled = clock.setTimer(12, () => fired.push('never'));
    cancelled.dispose();
    await clock.advance(30);
    vitest.expect(fired).toEqual(['a@10', 'c@15', 'b@20']);
    vitest.expect(clock.now()).toBe(30);
  });
});
