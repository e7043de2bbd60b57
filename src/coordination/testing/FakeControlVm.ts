import * as net from 'node:net';
import * as grpc from '@grpc/grpc-js';
import * as feedCodec from '../FeedCodec.js';
import type * as sessionStream from '../SessionStream.js';
import type * as types from '../Types.js';

type State = types.DownMessage & { readonly kind: 'state' };

const INITIAL_STATE: State = {
  kind: 'state',
  leads: false,
  confirmed: false,
  term: 1,
  entries: 1,
  wantsEndpoints: false,
  members: [],
};

/**
 * A control VM that sends its state on each stream, when the stream is opened and when the state changes. It can leave new
 * connections unanswered, as a process does that is too busy to accept them.
 */
export class FakeControlVm {
  address = '';

  /** New connections are not answered before `acceptWaiting`. */
  isBusy = false;

  /** Number of connections that were ever opened to it. */
  connectionCount = 0;

  private state = INITIAL_STATE;

  private readonly streams = new Set<sessionStream.ServerStream>();

  private readonly grpcServer = new grpc.Server();

  private readonly listener = net.createServer((socket) => this.handleSocket(socket));

  private waiting: { readonly socket: net.Socket; readonly since: number }[] = [];

  private readonly sockets = new Set<net.Socket>();

  private grpcPort = 0;

  constructor() {
    this.grpcServer.addService(feedCodec.FEED_SERVICE, {
      open: (stream: sessionStream.ServerStream) => this.serve(stream),
    });
  }

  /** Listens on a free port of the loopback address. */
  async listen(): Promise<void> {
    this.grpcPort = await new Promise<number>((resolve, reject) => {
      const credentials = grpc.ServerCredentials.createInsecure();
      this.grpcServer.bindAsync('127.0.0.1:0', credentials, (err, port) =>
        err === null ? resolve(port) : reject(err),
      );
    });
    await new Promise<void>((resolve) => {
      this.listener.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${(this.listener.address() as net.AddressInfo).port}`;
  }

  /** Changes the state and sends it on all streams. */
  setState(changes: Partial<State>): void {
    this.state = { ...this.state, ...changes };
    this.streams.forEach((stream) => this.sendState(stream));
  }

  /** Serves the connections that have waited for at least `minWaitMs`. */
  acceptWaiting(minWaitMs: number): void {
    const latest = performance.now() - minWaitMs;
    const due = this.waiting.filter(({ since }) => since <= latest);
    this.waiting = this.waiting.filter(({ since }) => since > latest);
    due.filter(({ socket }) => !socket.destroyed).forEach(({ socket }) => this.connect(socket));
  }

  /** Ends the process: all connections break. */
  dispose(): void {
    this.listener.close();
    this.sockets.forEach((socket) => socket.destroy());
    this.grpcServer.forceShutdown();
  }

  private handleSocket(socket: net.Socket): void {
    this.connectionCount += 1;
    this.sockets.add(socket);
    socket.on('error', () => {});
    if (this.isBusy) {
      this.waiting.push({ socket, since: performance.now() });
    } else {
      this.connect(socket);
    }
  }

  private connect(socket: net.Socket): void {
    const inner = net.connect(this.grpcPort, '127.0.0.1');
    this.sockets.add(inner);
    inner.on('error', () => {});
    inner.on('close', () => socket.destroy());
    socket.on('close', () => inner.destroy());
    socket.pipe(inner).pipe(socket);
  }

  private serve(stream: sessionStream.ServerStream): void {
    this.streams.add(stream);
    const remove = (): void => {
      this.streams.delete(stream);
    };
    stream.on('error', remove);
    stream.on('cancelled', remove);
    stream.on('end', () => {
      remove();
      stream.end();
    });
    stream.on('data', ({ kind }: types.UpMessage) => {
      if (kind !== 'alive') {
        this.sendState(stream);
      }
      if (kind === 'probe') {
        remove();
        stream.end();
      }
    });
  }

  private sendState(stream: sessionStream.ServerStream): void {
    stream.write(feedCodec.encode(this.state));
  }
}
