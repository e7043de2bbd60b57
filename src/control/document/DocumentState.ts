import * as emitter from '../../common/Emitter.js';
import type * as commonTypes from '../../common/Types.js';
import type * as controlTypes from '../Types.js';

/** One version of the configuration document. */
export interface IDocument {
  /** Version number that the submitter chose; the highest one is in force. */
  readonly version: number;
  /** Text exactly as submitted, byte for byte. */
  readonly text: string;
}

/**
 * Result of a submission. `accepted`: the submitted version is in force. `superseded`: the same document or a
 * higher version was already in force. `conflict`: the version in force has the same number and a different text.
 */
export type SubmitResult = 'accepted' | 'superseded' | 'conflict';

/**
 * State machine that holds the highest submitted version of one document. The first text that is accepted
 * under a version number is never replaced by a different text with that number.
 */
export class DocumentState implements controlTypes.IStateMachine, commonTypes.IDisposable {
  private newest: IDocument | undefined;

  private readonly changeEmitter = new emitter.Emitter<IDocument>();

  /** Fires once for each version that comes into force. */
  readonly onChange = this.changeEmitter.event;

  /** Version in force; undefined until a document has been accepted. */
  get current(): IDocument | undefined {
    return this.newest;
  }

  /** Returns the result that applying `document` would have, without changing the state. */
  evaluate(document: IDocument): SubmitResult {
    const { newest } = this;
    if (newest === undefined || document.version > newest.version) {
      return 'accepted';
    }
    const hasOtherText = document.version === newest.version && document.text !== newest.text;
    return hasOtherText ? 'conflict' : 'superseded';
  }

  /** Encodes a submission as a log command (JSON in UTF-8). */
  static encode(document: IDocument): Uint8Array {
    return Buffer.from(JSON.stringify(document));
  }

  /** Decodes the result that `apply` returned for a submission. */
  static decodeResult(bytes: Uint8Array): SubmitResult {
    return Buffer.from(bytes).toString('latin1') as SubmitResult;
  }

  /** @inheritdoc */
  apply(index: number, command: Uint8Array): Uint8Array {
    const document = JSON.parse(Buffer.from(command).toString('utf8')) as IDocument;
    const result = this.evaluate(document);
    if (result === 'accepted') {
      this.replace(document);
    }
    return Buffer.from(result, 'latin1');
  }

  /** @inheritdoc */
  snapshot(): Uint8Array {
    return this.newest === undefined ? new Uint8Array() : DocumentState.encode(this.newest);
  }

  /** @inheritdoc */
  restore(snapshot: Uint8Array): void {
    if (snapshot.length > 0) {
      const { version, text } = JSON.parse(Buffer.from(snapshot).toString('utf8')) as IDocument;
      this.replace({ version, text });
    }
  }

  /** @inheritdoc */
  dispose(): void {
    this.changeEmitter.dispose();
  }

  private replace(document: IDocument): void {
    const isNew = document.version !== this.newest?.version;
    this.newest = document;
    if (isNew) {
      this.changeEmitter.fire(document);
    }
  }
}
