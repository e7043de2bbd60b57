import type * as control from '#wire/control.js';
import * as messages from '../../common/wire/Messages.js';
import * as limits from './Limits.js';
import type * as types from './Types.js';

type Create = messages.Message<control.wire.OrderCreate.$Properties>;
type Claim = messages.Message<control.wire.OrderClaim.$Properties>;
type Settle = messages.Message<control.wire.OrderSettle.$Properties>;

/** Rejection of a command on orders. */
export interface IOrderRefusal {
  readonly code: string;
  readonly message: string;
}

/** Orders to engines. The fencing number of an order is the log index of its last claim. */
export class OrderState {
  private readonly orders = new Map<string, types.Order>();

  /** All orders, oldest first. */
  list(): readonly types.Order[] {
    return [...this.orders.values()];
  }

  /** Orders that have not ended, oldest first. */
  open(): readonly types.Order[] {
    return this.list().filter((order) => !isEnded(order));
  }

  /** The order with this id; undefined when it is unknown. */
  get(orderId: string): types.Order | undefined {
    return this.orders.get(orderId);
  }

  /** Adds an order. A resend with the same id and fields returns the existing order. */
  create(req: Create, operator: string, time: number): types.Order | IOrderRefusal {
    const known = this.orders.get(req.orderId);
    if (known !== undefined) {
      return sameOrder(known, req)
        ? known
        : {
            code: 'order-reused',
            message: `order id ${req.orderId} was used before for another order`,
          };
    }
    if (!this.ensureCapacity()) {
      return { code: 'orders-full', message: 'too many orders are open' };
    }
    const initial = { fence: 0, state: 'waiting', detail: '', claimedAt: 0, claimedBy: '' };
    const order = { ...req, ...initial, operator, time };
    this.orders.set(order.orderId, order);
    return order;
  }

  /** Assigns an open order to the leader `req.replica` under a new fencing number. */
  claim(req: Claim, index: number, time: number): types.Order | IOrderRefusal {
    const order = this.orders.get(req.orderId);
    if (order === undefined || isEnded(order)) {
      return { code: 'order-ended', message: `order ${req.orderId} is not open` };
    }
    const claim = { state: 'claimed', fence: index, claimedAt: time, claimedBy: req.replica };
    const next = { ...order, ...claim };
    this.orders.set(order.orderId, next);
    return next;
  }

  /** Sets the state of an open order: ended, or waiting with the cause in `detail`. */
  settle(req: Settle): types.Order | IOrderRefusal {
    const order = this.orders.get(req.orderId);
    if (order === undefined || isEnded(order)) {
      return { code: 'order-ended', message: `order ${req.orderId} is not open` };
    }
    const next = { ...order, state: req.state, detail: req.detail };
    this.orders.set(order.orderId, next);
    return next;
  }

  /** All orders as a message, oldest first. */
  snapshot(): control.wire.Orders.$Properties {
    return { orders: this.list().map(messages.asProperties) };
  }

  /** Replaces all orders. */
  restore(state: messages.Message<control.wire.Orders.$Properties> | null): void {
    this.orders.clear();
    state?.orders.forEach((order) => this.orders.set(order.orderId, order));
  }

  /** Evicts the oldest ended order when the table is full; returns false when all orders are open. */
  private ensureCapacity(): boolean {
    if (this.orders.size < limits.LIMITS.orders) {
      return true;
    }
    const ended = this.list().find(isEnded);
    return ended !== undefined && this.orders.delete(ended.orderId);
  }
}

function isEnded(order: types.Order): boolean {
  return order.state === 'done' || order.state === 'failed';
}

function sameOrder(order: types.Order, req: Create): boolean {
  const fields = ['endpoint', 'action', 'model', 'adapter', 'version', 'role'] as const;
  return fields.every((field) => order[field] === req[field]);
}
