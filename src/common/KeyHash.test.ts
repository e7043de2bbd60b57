import * as vitest from 'vitest';
import * as keyHash from './KeyHash.js';

vitest.describe('KeyHash', () => {
  vitest.it('verifies the secret of a new key and rejects any other', () => {
    const key = keyHash.newKey();
    const parts = keyHash.parseKey(key.text);
    vitest.expect(parts?.id).toBe(key.stored.id);
    vitest.expect(keyHash.verifyKey(key.stored, parts?.secret ?? '')).toBe(true);
    vitest.expect(keyHash.verifyKey(key.stored, 'ab'.repeat(32))).toBe(false);
    vitest.expect(keyHash.verifyKey({ ...key.stored, hash: '' }, parts?.secret ?? '')).toBe(false);
  });

  vitest.it('rejects texts that are not valid keys', () => {
    const secret = 'ab'.repeat(32);
    const bad = [
      '',
      'avd_',
      `avd__${secret}`,
      `avd_a_${secret}0`,
      `avd_A_${secret}`,
      `x_a_${secret}`,
    ];
    bad.forEach((text) => vitest.expect(keyHash.parseKey(text)).toBeUndefined());
  });
});
