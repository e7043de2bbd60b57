/** Connection to the control group for the duration of one command. */
import type * as controlClient from '../control/client/ControlClient.js';
import type * as types from './Types.js';

/**
 * Connects to the control group, runs a callback with the client and disposes the client afterwards, also when
 * the callback throws.
 *
 * @example
 * await withControl(ctx, (control) => control.query({ status: {} }));
 */
export async function withControl<T>(
  ctx: types.ICommandContext,
  run: (control: controlClient.ControlClient) => Promise<T>,
): Promise<T> {
  const control = ctx.connect();
  try {
    return await run(control);
  } finally {
    control.dispose();
  }
}
