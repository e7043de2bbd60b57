import * as grpc from '@grpc/grpc-js';
import type * as commonTypes from '../../common/Types.js';
import * as rpc from '../../common/wire/Rpc.js';
import * as tls from '../../common/wire/Tls.js';
import * as grpcExchangeTransport from '../../membership/GrpcExchangeTransport.js';
import * as peerConfigurations from './PeerConfigurations.js';

/** gRPC server for the other entry VMs: exchanges membership digests and serves the configuration of this VM. */
export class PeerServer implements commonTypes.IDisposable {
  /** Transport of the digest exchange between entry VMs. */
  readonly transport: grpcExchangeTransport.GrpcExchangeTransport;

  /** Serves the configuration of this VM and fetches those of the peers. */
  readonly configurations: peerConfigurations.PeerConfigurations;

  private readonly server = new grpc.Server(rpc.SERVER_OPTIONS);

  /** Creates the server without opening a port; `listen` opens it. `peers` are addresses (`ip:port`). */
  constructor(
    private readonly tlsFiles: tls.TlsFiles | undefined,
    peers: readonly string[],
    clock: commonTypes.IClock,
  ) {
    const credentials = tls.channelCredentials(tlsFiles);
    this.transport = new grpcExchangeTransport.GrpcExchangeTransport(
      this.server,
      credentials,
      clock,
    );
    this.configurations = new peerConfigurations.PeerConfigurations(
      this.server,
      credentials,
      peers,
      clock,
    );
  }

  /** Starts listening at `ip:port` and resolves with the bound port; rejects when the address is unavailable. */
  listen(address: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.bindAsync(address, tls.serverCredentials(this.tlsFiles), (err, port) => {
        if (err) {
          reject(err);
          return;
        }
        resolve(port);
      });
    });
  }

  /** @inheritdoc */
  dispose(): void {
    this.transport.dispose();
    this.configurations.dispose();
    this.server.forceShutdown();
  }
}
