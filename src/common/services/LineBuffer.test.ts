import * as vitest from 'vitest';
import * as lineBuffer from './LineBuffer.js';

vitest.describe('LineBuffer', () => {
  vitest.it('writes all lines of one event loop turn in one call', async () => {
    const written: string[] = [];
    const buffer = new lineBuffer.LineBuffer((text) => written.push(text));
    buffer.add('a=1');
    buffer.add('b=2');
    vitest.expect(written).toEqual([]);
    await new Promise<void>((resolve) => {
      setImmediate(resolve);
    });
    vitest.expect(written).toEqual(['a=1\nb=2\n']);
    buffer.add('c=3');
    buffer.flush();
    buffer.flush();
    vitest.expect(written).toEqual(['a=1\nb=2\n', 'c=3\n']);
  });
});
