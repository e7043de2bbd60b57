/** Typed gRPC calls for the generated messages. */
import * as grpc from '@grpc/grpc-js';
import * as messages from './Messages.js';
import * as silenceOptions from './SilenceOptions.js';

/** A gRPC method with the codecs of its messages. */
export interface IMethod<Req, Res> {
  /** `/package.Service/Method`. */
  readonly path: string;
  readonly request: messages.ICodec<Req>;
  readonly response: messages.ICodec<Res>;
  readonly responseStream: boolean;
}

/** Options of one call. */
export interface ICallOptions {
  /** Milliseconds after which the call fails with DEADLINE_EXCEEDED; without it the call has no deadline. */
  readonly timeout?: number;
  readonly signal?: AbortSignal;
  readonly metadata?: grpc.Metadata;
}

/** Maximum size of a message in either direction, in bytes. */
export const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Options of the gRPC channels to the control group and between entry VMs. */
export const CHANNEL_OPTIONS: grpc.ChannelOptions = {
  ...silenceOptions.SILENCE_OPTIONS,
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1000,
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
};

/** Options of the gRPC servers that those channels reach. */
export const SERVER_OPTIONS: grpc.ServerOptions = {
  ...silenceOptions.SILENCE_SERVER_OPTIONS,
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
};

/** Converts a method to the definition that grpc-js expects. */
export function defineMethod<Req, Res>(
  method: IMethod<Req, Res>,
): grpc.MethodDefinition<unknown, unknown> {
  return {
    path: method.path,
    requestStream: false,
    responseStream: method.responseStream,
    requestSerialize: (value) => Buffer.from(messages.encode(method.request, value as Req)),
    requestDeserialize: (bytes) => messages.decode(method.request, bytes),
    responseSerialize: (value) => Buffer.from(messages.encode(method.response, value as Res)),
    responseDeserialize: (bytes) => messages.decode(method.response, bytes),
  };
}

function callOptions(options: ICallOptions): grpc.CallOptions {
  return options.timeout === undefined ? {} : { deadline: Date.now() + options.timeout };
}

/**
 * Makes a unary call.
 *
 * @throws grpc.ServiceError when the call fails or the signal aborts.
 * @example
 * const result = await callUnary(client, METHODS.execute, command, { timeout: 2000 });
 */
export function callUnary<Req, Res>(
  client: grpc.Client,
  method: IMethod<Req, Res>,
  req: Req,
  options: ICallOptions = {},
): Promise<messages.Message<Res>> {
  return new Promise((resolve, reject) => {
    const definition = defineMethod(method);
    const { signal } = options;
    const call = client.makeUnaryRequest(
      method.path,
      definition.requestSerialize,
      definition.responseDeserialize,
      req,
      options.metadata ?? new grpc.Metadata(),
      callOptions(options),
      (err, res) => {
        signal?.removeEventListener('abort', cancel);
        if (err !== null) {
          reject(err);
          return;
        }
        resolve(res as messages.Message<Res>);
      },
    );
    function cancel(): void {
      call.cancel();
    }
    signal?.addEventListener('abort', cancel);
    if (signal?.aborted) {
      cancel();
    }
  });
}

/**
 * Makes a server-streaming call; leaving the loop cancels the call.
 *
 * @throws grpc.ServiceError during the iteration when the call fails or the signal aborts.
 * @example
 * for await (const update of callStream(client, METHODS.watch, req)) use(update);
 */
export async function* callStream<Req, Res>(
  client: grpc.Client,
  method: IMethod<Req, Res>,
  req: Req,
  options: ICallOptions = {},
): AsyncIterable<messages.Message<Res>> {
  const definition = defineMethod(method);
  const call = client.makeServerStreamRequest(
    method.path,
    definition.requestSerialize,
    definition.responseDeserialize,
    req,
    options.metadata ?? new grpc.Metadata(),
    callOptions(options),
  );
  const cancel = (): void => call.cancel();
  options.signal?.addEventListener('abort', cancel);
  try {
    for await (const message of call) {
      yield message as messages.Message<Res>;
    }
  } finally {
    options.signal?.removeEventListener('abort', cancel);
    call.cancel();
  }
}
