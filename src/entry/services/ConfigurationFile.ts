import * as fs from 'node:fs';
import * as path from 'node:path';
import * as textDelta from '../../common/wire/TextDelta.js';

const FILE_NAME = 'configuration.json';

/** A configuration version with its declaration text. */
export interface IHeldConfiguration {
  readonly version: number;
  readonly text: string;
}

/** Stores the newest configuration in a file of the entry's state folder, so that it survives a restart. */
export class ConfigurationFile {
  private readonly file: string;

  /** Uses `folder`, which must exist. */
  constructor(private readonly folder: string) {
    this.file = path.join(folder, FILE_NAME);
  }

  /** Reads the stored configuration; undefined when the file is missing or corrupt. */
  read(): IHeldConfiguration | undefined {
    try {
      const value = JSON.parse(fs.readFileSync(this.file, 'utf8')) as Partial<IStoredConfiguration>;
      const { version, text, sha256 } = value;
      const complete = typeof version === 'number' && typeof text === 'string';
      return complete && textDelta.hashText(text) === sha256 ? { version, text } : undefined;
    } catch {
      return undefined;
    }
  }

  /** Replaces the stored configuration atomically: writes and syncs a new file, then renames it. */
  write(held: IHeldConfiguration): void {
    const temporaryFile = `${this.file}.new`;
    const stored: IStoredConfiguration = { ...held, sha256: textDelta.hashText(held.text) };
    const handle = fs.openSync(temporaryFile, 'w');
    try {
      fs.writeFileSync(handle, JSON.stringify(stored));
      fs.fsyncSync(handle);
    } finally {
      fs.closeSync(handle);
    }
    fs.renameSync(temporaryFile, this.file);
    const folder = fs.openSync(this.folder, 'r');
    fs.fsyncSync(folder);
    fs.closeSync(folder);
  }
}

interface IStoredConfiguration extends IHeldConfiguration {
  readonly sha256: string;
}
