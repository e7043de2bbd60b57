import * as zod from 'zod';
import type * as types from '../Types.js';
import * as work from './Work.js';

const orderSchema = zod.object({
  order_id: zod.string().min(1),
  fence: zod.int().min(0),
  action: zod.enum(['load', 'unload', 'set-role']),
  model: zod.string().optional(),
  adapter: zod.string().optional(),
  version: zod.string().optional(),
  role: zod.enum(['both', 'prefill', 'decode']).optional(),
});

type Order = zod.infer<typeof orderSchema>;

interface IModel {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
}

/** Orders that an engine has taken: models, adapters and its role. */
export class OrderBook {
  private fence = 0;

  private lastOrderId = '';

  private role = 'both';

  private readonly models = new Map<string, IModel>();

  /** Starts without any order. */
  constructor(private readonly ctx: types.IStandinContext) {}

  /** Applies an order; refuses an old fencing number where these are checked. */
  take(body: Readonly<Record<string, unknown>>): Promise<types.IReply> {
    const parsed = orderSchema.safeParse(body);
    if (!parsed.success) {
      throw new work.BadCallError(parsed.error.issues.map((issue) => issue.message).join('; '));
    }
    const order = parsed.data;
    if (this.ctx.faults.checksFencing && order.fence < this.fence) {
      return Promise.resolve({ status: 409, json: { fence: this.fence } });
    }
    const applied = order.order_id !== this.lastOrderId;
    this.fence = Math.max(this.fence, order.fence);
    this.lastOrderId = order.order_id;
    this.apply(order);
    return Promise.resolve({ status: 200, json: { applied } });
  }

  /** The state that the orders left. */
  read(): Promise<types.IReply> {
    const json = {
      fence: this.fence,
      models: [...this.models.values()],
      role: this.role,
      last_order_id: this.lastOrderId,
    };
    return Promise.resolve({ status: 200, json });
  }

  private apply(order: Order): void {
    this.role = order.role ?? this.role;
    if (order.model === undefined) {
      return;
    }
    if (order.action === 'unload') {
      this.models.delete(order.model);
      return;
    }
    const held = this.models.get(order.model);
    const adapters = new Set([
      ...(held?.adapters ?? []),
      ...(order.adapter ? [order.adapter] : []),
    ]);
    const version = order.version ?? held?.version ?? '';
    this.models.set(order.model, { model: order.model, version, adapters: [...adapters] });
  }
}
