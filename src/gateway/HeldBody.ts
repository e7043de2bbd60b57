import type * as net from 'node:net';
import * as blockBuffer from '../common/memory/BlockBuffer.js';
import type * as commonTypes from '../common/Types.js';
import type * as bodyMemory from './BodyMemory.js';
import type * as connectionLeases from './ConnectionLeases.js';
import type * as requestBody from './RequestBody.js';

/**
 * Body of a stream that is held until it is whole, charged before it is kept. Once a part does not fit, or the memory is
 * needed elsewhere, the body is dropped, and so are all later parts.
 *
 * @example
 * const body = new HeldBody({ memory, socket, maxBytes: 8e6, onDropped: () => fail() });
 * body.append(part);
 * send(body.take());
 */
export class HeldBody implements commonTypes.IDisposable {
  private readonly parts: blockBuffer.BlockBuffer;

  private readonly held: connectionLeases.IConnectionLease;

  private totalBytes = 0;

  private isOver = false;

  /** Calls `onDropped` at most once. */
  constructor(
    private readonly options: {
      readonly memory: bodyMemory.IBodyMemory;
      readonly socket: net.Socket;
      readonly maxBytes: number;
      readonly onDropped: (reason: requestBody.DropReason) => void;
    },
  ) {
    const { memory, socket } = options;
    this.parts = new blockBuffer.BlockBuffer(memory.pool);
    this.held = memory.leases.take(socket, 'unread', () => this.dropFor('no-room'));
  }

  /** Adds a copy of a part. */
  append(part: Buffer): void {
    if (this.isOver) {
      return;
    }
    this.totalBytes += part.length;
    if (this.totalBytes > this.options.maxBytes) {
      this.dropFor('too-long');
    } else if (this.held.lease.resize(this.parts.capacityWith(part.length))) {
      this.parts.append(part);
    } else {
      this.dropFor('no-room');
    }
  }

  /** Returns the whole body, which is not charged any more, and ends. */
  take(): Buffer {
    const body = this.parts.take();
    this.dispose();
    return body;
  }

  /** @inheritdoc */
  dispose(): void {
    this.isOver = true;
    this.held.release();
    this.parts.clear();
  }

  private dropFor(reason: requestBody.DropReason): void {
    if (!this.isOver) {
      this.dispose();
      this.options.onDropped(reason);
    }
  }
}
