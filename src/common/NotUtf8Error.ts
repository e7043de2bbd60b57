/** Thrown for bytes that are not UTF-8, with the place at which they end to be. */
export class NotUtf8Error extends Error {
  /** Creates the error; `at` is the offset of the first byte that is not part of a character. */
  constructor(readonly at: number) {
    super(`is not UTF-8 at byte ${at}`);
    this.name = 'NotUtf8Error';
  }
}
