import * as zlib from 'node:zlib';
import * as textDelta from '../common/wire/TextDelta.js';
import * as textPatch from '../common/wire/TextPatch.js';
import * as feedCodec from './FeedCodec.js';
import type * as types from './Types.js';

/** Earlier texts that VMs may still hold; a VM that holds none of them gets the whole text. */
const MAX_EARLIER_TEXTS = 6;
/** Longest text, in UTF-16 code units, that is kept as an earlier one; longer ones would take too much memory. */
const MAX_EARLIER_LENGTH = 512 * 1024;

/** An encoded message and its kind. */
export interface IEncodedMessage {
  readonly kind: types.DownMessage['kind'];
  readonly bytes: Buffer;
}

/** Topic of a shared text, and callbacks. */
export interface ISharedTextOptions {
  readonly topic: types.FeedTopic;
  /** Returns the message with the whole text for VMs that take no updates. */
  readonly toWholeMessage: (version: number, text: string) => types.DownMessage;
  /** Called for each message that is encoded. */
  readonly onEncoded: (kind: types.DownMessage['kind']) => void;
}

/**
 * A text that a control VM sends to all entry VMs, again at each change. A VM gets the difference to the text that it holds,
 * or the whole text compressed. Each message is encoded once for all VMs that hold the same text.
 */
export class SharedText {
  private text = '';

  private version = 0;

  private currentDigest = '';

  /** Earlier texts by digest, oldest first. */
  private readonly earlier = new Map<string, string>();

  /** Messages of the current text by digest of the text that the VM holds. */
  private encoded = new Map<string | undefined, IEncodedMessage>();

  /** Creates a text, which is empty at first. */
  constructor(private readonly options: ISharedTextOptions) {}

  /** SHA-256 of the text, in hexadecimal; empty before the first text. */
  get digest(): string {
    return this.currentDigest;
  }

  /** Replaces the text; has no effect if neither it nor its version changes. */
  set(version: number, text: string): void {
    if (version === this.version && text === this.text) {
      return;
    }
    this.keepEarlier();
    this.version = version;
    this.text = text;
    this.currentDigest = textDelta.hashText(text);
    this.encoded = new Map();
  }

  /**
   * Returns the message for a VM that holds the text with the digest `held`: empty if it holds none, undefined if it takes no
   * updates.
   */
  messageFor(held: string | undefined): IEncodedMessage {
    if (held === undefined) {
      return this.encodeOnce(held, () => this.options.toWholeMessage(this.version, this.text));
    }
    const base = held === this.currentDigest ? this.text : this.earlier.get(held);
    if (base === undefined) {
      return this.encodeOnce('', () => this.packedUpdate());
    }
    return this.encodeOnce(held, () => this.updateFrom(base, held));
  }

  private packedUpdate(): types.IUpdate {
    const { version, currentDigest: digest, options } = this;
    const packed = zlib.deflateRawSync(this.text).toString('base64');
    return { kind: 'update', topic: options.topic, version, digest, packed };
  }

  private updateFrom(text: string, base: string): types.IUpdate {
    const { version, currentDigest: digest, options } = this;
    const { parts } = textPatch.makePatch(text, this.text);
    return { kind: 'update', topic: options.topic, version, digest, base, parts };
  }

  private encodeOnce(key: string | undefined, build: () => types.DownMessage): IEncodedMessage {
    const known = this.encoded.get(key);
    if (known !== undefined) {
      return known;
    }
    const message = build();
    this.options.onEncoded(message.kind);
    const created = { kind: message.kind, bytes: feedCodec.encode(message) };
    this.encoded.set(key, created);
    return created;
  }

  private keepEarlier(): void {
    if (this.currentDigest !== '' && this.text.length <= MAX_EARLIER_LENGTH) {
      this.earlier.delete(this.currentDigest);
      this.earlier.set(this.currentDigest, this.text);
    }
    const excess = this.earlier.size - MAX_EARLIER_TEXTS;
    [...this.earlier.keys()].slice(0, Math.max(0, excess)).forEach((digest) => {
      this.earlier.delete(digest);
    });
  }
}
