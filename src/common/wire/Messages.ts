/** Encodes protobuf messages and decodes them to read-only plain data. */

type Field<T> = T extends number | string | boolean | Uint8Array
  ? T
  : T extends readonly (infer U)[]
    ? readonly Element<U>[]
    : Message<T> | null;

type Element<T> = T extends number | string | boolean | Uint8Array ? T : Message<T>;

/** A decoded message: scalars and lists are always present, absent submessages are null. */
export type Message<T> = {
  readonly [K in keyof T as K extends '$unknowns' ? never : K]-?: Field<NonNullable<T[K]>>;
};

/** Generated code that encodes and decodes one message type. */
export interface ICodec<P> {
  encode(message: P): { finish(): Uint8Array };
  decode(bytes: Uint8Array): object;
}

/**
 * Encodes a message; omitted fields get their default values.
 *
 * @example
 * const bytes = encode(wire.StatusQuery, {});
 */
export function encode<P>(codec: ICodec<P>, message: P): Uint8Array {
  return codec.encode(message).finish();
}

/**
 * Decodes a message to a plain object that has every field; its byte fields share memory with `bytes`.
 *
 * @throws Error when the bytes are not a valid message of this type.
 * @example
 * const query = decode(wire.Query, bytes);
 */
export function decode<P>(codec: ICodec<P>, bytes: Uint8Array): Message<P> {
  return toPlain(codec.decode(bytes)) as Message<P>;
}

/** Copies prototype fields, too: decoded messages keep default values there, and object spread would lose them. */
function toPlain(value: unknown): unknown {
  if (Array.isArray(value)) {
    return value.map(toPlain);
  }
  if (typeof value !== 'object' || value === null || value instanceof Uint8Array) {
    return value;
  }
  const message = value as Readonly<Record<string, unknown>>;
  const plain: Record<string, unknown> = {};
  // The loop includes inherited properties on purpose.
  // eslint-disable-next-line guard-for-in
  for (const field in message) {
    plain[field] = toPlain(message[field]);
  }
  return plain;
}

/** Casts a decoded message to the type that `encode` accepts; messages are never modified, so the cast is safe. */
export function asProperties<P>(message: Message<P>): P {
  return message as unknown as P;
}
