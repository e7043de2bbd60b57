import * as emitter from '../../common/Emitter.js';
import type * as commonTypes from '../../common/Types.js';
import type * as controlTypes from '../Types.js';

/** A version of the document. */
export interface IDocument {
  readonly version: number;
  /** The text as it was submitted, to the byte. */
  readonly text: string;
}

/** What became of a submission: it is in force, an equal or higher one is, or its number has another text. */
export type SubmitResult = 'accepted' | 'superseded' | 'conflict';

/**
 * One document whose highest version is in force, driven by the replicated log. The first text under a
 * number stays.
 */
export class DocumentState implements controlTypes.IStateMachine, commonTypes.IDisposable {
  private held: IDocument | undefined;

  private readonly changed = new emitter.Emitter<IDocument>();

  /** Fires with each version that comes into force. */
  readonly onChange = this.changed.event;

  /** The version in force; undefined before the first. */
  get current(): IDocument | undefined {
    return this.held;
  }

  /** What a submission would become now. */
  judge(document: IDocument): SubmitResult {
    const { held } = this;
    if (held === undefined || document.version > held.version) {
      return 'accepted';
    }
    const isOther = document.version === held.version && document.text !== held.text;
    return isOther ? 'conflict' : 'superseded';
  }

  /** Encodes a submission as a command of the log. */
  static encode(document: IDocument): Uint8Array {
    return Buffer.from(JSON.stringify(document));
  }

  /** Reads the result of a command. */
  static decodeResult(bytes: Uint8Array): SubmitResult {
    return Buffer.from(bytes).toString('latin1') as SubmitResult;
  }

  /** @inheritdoc */
  apply(index: number, command: Uint8Array): Uint8Array {
    const document = JSON.parse(Buffer.from(command).toString('utf8')) as IDocument;
    const result = this.judge(document);
    if (result === 'accepted') {
      this.replace(document);
    }
    return Buffer.from(result, 'latin1');
  }

  /** @inheritdoc */
  snapshot(): Uint8Array {
    return this.held === undefined ? new Uint8Array() : DocumentState.encode(this.held);
  }

  /** @inheritdoc */
  restore(snapshot: Uint8Array): void {
    if (snapshot.length > 0) {
      this.replace(JSON.parse(Buffer.from(snapshot).toString('utf8')) as IDocument);
    }
  }

  /** @inheritdoc */
  dispose(): void {
    this.changed.dispose();
  }

  private replace(document: IDocument): void {
    const isNew = document.version !== this.held?.version;
    this.held = document;
    if (isNew) {
      this.changed.fire(document);
    }
  }
}
