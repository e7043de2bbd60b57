import * as vitest from 'vitest';
import * as closableDisk from './ClosableDisk.js';
import type * as types from './Types.js';

const { expect, test } = vitest;

/** A file whose write ends when the test says so. */
function slowFile(): { file: types.IFile; finish: () => void; written: () => boolean } {
  let finish = (): void => {};
  let isWritten = false;
  const write = new Promise<void>((resolve) => {
    finish = resolve;
  }).then(() => {
    isWritten = true;
  });
  const file = { write: () => write, close: async () => {} } as unknown as types.IFile;
  return { file, finish, written: () => isWritten };
}

test('closing waits for the operations that run, and rejects later ones', async () => {
  const { file, finish, written } = slowFile();
  const disk = new closableDisk.ClosableDisk({ open: async () => file } as unknown as types.IDisk);
  const open = await disk.open('a');
  const writing = open.write(0, new Uint8Array(1));
  const closed = disk.close().then(() => written());
  await expect(open.write(1, new Uint8Array(1))).rejects.toThrow('disk closed');
  await expect(disk.rename('a', 'b')).rejects.toThrow('disk closed');
  finish();
  await writing;
  expect(await closed).toBe(true);
  await open.close();
});
