import type * as net from 'node:net';
import * as blockBuffer from '../common/memory/BlockBuffer.js';
import type * as commonTypes from '../common/Types.js';
import type * as bodyMemory from './BodyMemory.js';
import type * as connectionLeases from './ConnectionLeases.js';

/** Why a body is not taken: it is longer than allowed, or the process has no memory for it. */
export type DropReason = 'too-long' | 'no-room';

/**
 * Body of a request while it arrives, charged before it is kept. Once a part does not fit, or the memory is needed
 * elsewhere, the body is dropped, and so are all later parts.
 *
 * @example
 * const body = new RequestBody({ memory, socket, maxBytes: 4e6, onDropped: (reason) => refuse(reason) });
 * req.on('data', (part) => body.append(part));
 * req.on('end', () => handle(body.take()));
 */
export class RequestBody implements commonTypes.IDisposable {
  private readonly received: blockBuffer.BlockBuffer;

  private readonly held: connectionLeases.IConnectionLease;

  private headBytes = 0;

  private totalBytes = 0;

  private parts = 0;

  private dropped = false;

  /** Calls `onDropped` at most once. */
  constructor(
    private readonly options: {
      readonly memory: bodyMemory.IBodyMemory;
      readonly socket: net.Socket;
      readonly maxBytes: number;
      readonly onDropped: (reason: DropReason) => void;
    },
  ) {
    const { memory, socket } = options;
    this.received = new blockBuffer.BlockBuffer(memory.pool);
    this.held = memory.leases.take(socket, 'request', () => this.dropFor('no-room'));
  }

  /** Bytes that arrived, also those that were dropped. */
  get bytes(): number {
    return this.totalBytes;
  }

  /** Whether the body was dropped. */
  get isDropped(): boolean {
    return this.dropped;
  }

  /** Charges `bytes` of the head. */
  holdHead(bytes: number): void {
    this.headBytes = bytes;
    if (!this.dropped && !this.held.lease.resize(bytes)) {
      this.dropFor('no-room');
    }
  }

  /** Adds a part. */
  append(part: Buffer): void {
    const { memory, maxBytes } = this.options;
    this.totalBytes += part.length;
    this.parts += 1;
    memory.collector.recordReceived(part.length);
    if (this.dropped) {
      return;
    }
    const capacity = this.received.capacityWith(part.length);
    if (this.totalBytes > maxBytes) {
      this.dropFor('too-long');
    } else if (
      memory.smallParts.admit(this, this.parts, this.totalBytes) &&
      this.held.lease.resize(this.headBytes + capacity)
    ) {
      this.received.append(part);
    } else {
      this.dropFor('no-room');
    }
  }

  /** Drops the body without a call of `onDropped`; returns whether it was held until now. */
  drop(): boolean {
    const wasHeld = !this.dropped;
    this.dropped = true;
    this.received.clear();
    this.dispose();
    return wasHeld;
  }

  /** Returns the complete body, which stays charged until `dispose`; it is not dropped any more. */
  take(): Buffer {
    this.held.lease.setReclaimable(false);
    this.options.memory.smallParts.leave(this);
    return this.received.take();
  }

  /** @inheritdoc */
  dispose(): void {
    this.held.release();
    this.received.clear();
    this.options.memory.smallParts.leave(this);
  }

  private dropFor(reason: DropReason): void {
    if (this.drop()) {
      this.options.onDropped(reason);
    }
  }
}
