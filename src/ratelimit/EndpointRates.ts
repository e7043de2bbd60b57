import * as emitter from '../common/Emitter.js';
import type * as types from './Types.js';

/** The lowest of the rates that several sources know of an endpoint. */
export class EndpointRates implements types.IRateSource {
  private readonly changeEmitter = new emitter.Emitter<types.IRateLimitChange>();

  /** @inheritdoc */
  readonly onChange = this.changeEmitter.event;

  /** Follows the sources. */
  constructor(private readonly sources: readonly types.IRateSource[]) {
    sources.forEach((source) => source.onChange((change) => this.changeEmitter.fire(change)));
  }

  /** @inheritdoc */
  limitOf(endpointId: string): number | undefined {
    return this.sources.reduce<number | undefined>((lowest, source) => {
      const limit = source.limitOf(endpointId);
      return limit === undefined || (lowest !== undefined && lowest < limit) ? lowest : limit;
    }, undefined);
  }

  /** @inheritdoc */
  get limitedIds(): readonly string[] {
    return [...new Set(this.sources.flatMap(({ limitedIds }) => limitedIds))];
  }
}
