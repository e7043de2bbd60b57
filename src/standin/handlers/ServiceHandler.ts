import type * as types from '../Types.js';
import * as work from './Work.js';

/** A plain service: answers any method and path with what it was asked. */
export class ServiceHandler implements types.IHandler {
  /** Answers for one stand-in. */
  constructor(private readonly ctx: types.IStandinContext) {}

  /** @inheritdoc */
  isWork(): boolean {
    return true;
  }

  /** @inheritdoc */
  async handle(call: types.ICall): Promise<types.IReply> {
    await work.spendService(this.ctx, call);
    const { method, path } = call;
    const digest = work.digestOf(call.body.toString());
    return { status: 200, json: { service: this.ctx.options.name, method, path, digest } };
  }
}
