/** Another process has locked the data folder. */
export class FolderLockedError extends Error {
  /** `folder` is the path of the locked folder. */
  constructor(readonly folder: string) {
    super(`data folder ${folder} is in use by another process`);
    this.name = 'FolderLockedError';
  }
}
