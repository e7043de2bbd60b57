/* global performance */
/* eslint-disable import-x/prefer-default-export */
import * as fs from 'node:fs';
import * as path from 'node:path';

/** Writes what is sent, answered and run to `record.txt`, with the milliseconds since the start. */
export class Record {
  constructor(folder) {
    this.file = path.join(folder, 'record.txt');
    this.startedAt = performance.now();
    fs.writeFileSync(this.file, '');
  }

  write(text) {
    const at = ((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8);
    fs.appendFileSync(this.file, `${at} s  ${text}\n`);
  }
}
