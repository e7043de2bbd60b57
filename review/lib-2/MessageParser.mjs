/* eslint-disable import-x/prefer-default-export -- house style: namespace imports */
/* global Buffer */
const CRLF = '\r\n';

/** Parses the messages of one side of an HTTP/1.1 connection; `onMessage` receives each complete one. */
export class MessageParser {
  constructor(onMessage) {
    this.onMessage = onMessage;
    this.bytes = Buffer.alloc(0);
  }

  push(chunk) {
    this.bytes = Buffer.concat([this.bytes, chunk]);
    for (let message = this.take(); message !== undefined; message = this.take()) {
      this.onMessage(message);
    }
  }

  take() {
    const end = this.bytes.indexOf(CRLF + CRLF);
    if (end < 0) {
      return undefined;
    }
    const [start, ...lines] = this.bytes.toString('latin1', 0, end).split(CRLF);
    const headers = new Map(
      lines.map((line) => [
        line.slice(0, line.indexOf(':')).toLowerCase(),
        line.slice(line.indexOf(':') + 1).trim(),
      ]),
    );
    const isChunked = headers.get('transfer-encoding') === 'chunked';
    const body = isChunked
      ? this.takeChunks(end + 4)
      : this.takeBytes(end + 4, Number(headers.get('content-length') ?? 0));
    return body === undefined ? undefined : { start, headers, body };
  }

  takeBytes(from, length) {
    if (this.bytes.length < from + length) {
      return undefined;
    }
    const body = this.bytes.toString('latin1', from, from + length);
    this.bytes = this.bytes.subarray(from + length);
    return body;
  }

  takeChunks(from) {
    let at = from;
    let body = '';
    for (;;) {
      const end = this.bytes.indexOf(CRLF, at);
      if (end < 0) {
        return undefined;
      }
      const length = Number.parseInt(this.bytes.toString('latin1', at, end), 16);
      if (this.bytes.length < end + 2 + length + 2) {
        return undefined;
      }
      body += this.bytes.toString('latin1', end + 2, end + 2 + length);
      at = end + 2 + length + 2;
      if (length === 0) {
        this.bytes = this.bytes.subarray(at);
        return body;
      }
    }
  }
}
