import * as control from '#wire/control.js';
import * as pattern from 'ts-pattern';
import * as messages from '../../common/wire/Messages.js';
import type * as zoneTypes from '../../zones/Types.js';
import * as zoneState from '../../zones/ZoneState.js';
import type * as controlTypes from '../Types.js';
import * as accountingState from './AccountingState.js';
import * as auditTrail from './AuditTrail.js';
import * as configurationState from './ConfigurationState.js';
import * as entryLeases from './EntryLeases.js';
import * as ledger from './Ledger.js';
import * as ledgerMessages from './LedgerMessages.js';
import * as orderState from './OrderState.js';
import * as quarantineState from './QuarantineState.js';
import type * as types from './Types.js';

const { wire } = control;
const DONE: types.Result = { done: {} };
/** Interval between the removals of expired records, suspects and accounting rows. */
const EXPIRY_INTERVAL_MS = 60_000;

/** The replicated state machine. It is deterministic: its time comes from commands and never decreases. */
export class ControlState implements controlTypes.IStateMachine {
  readonly configuration = new configurationState.ConfigurationState();

  readonly ledger = new ledger.Ledger();

  readonly entries = new entryLeases.EntryLeases();

  readonly quarantine = new quarantineState.QuarantineState();

  readonly accounting = new accountingState.AccountingState();

  readonly orders = new orderState.OrderState();

  readonly zones = new zoneState.ZoneState();

  readonly audit = new auditTrail.AuditTrail();

  private time = 0;

  private expiredAt = 0;

  /** Highest time of the applied commands, in ms since the epoch. */
  get now(): number {
    return this.time;
  }

  /** @inheritdoc */
  apply(index: number, bytes: Uint8Array): Uint8Array {
    const command = messages.decode(wire.Command, bytes);
    this.time = Math.max(this.time, command.time);
    return messages.encode(wire.Result, this.dispatch(index, command));
  }

  /** @inheritdoc */
  snapshot(): Uint8Array {
    return messages.encode(wire.Snapshot, {
      time: this.time,
      expiredAt: this.expiredAt,
      configuration: this.configuration.snapshot(),
      ledger: this.ledger.snapshot(),
      entries: this.entries.snapshot(),
      quarantine: this.quarantine.snapshot(),
      accounting: this.accounting.snapshot(),
      orders: this.orders.snapshot(),
      audit: this.audit.snapshot(),
      ...(this.zones.current.revision === 0 ? {} : { zones: asClosedZones(this.zones.current) }),
    });
  }

  /** @inheritdoc */
  restore(snapshot: Uint8Array): void {
    // Decoded messages share memory with their buffer, which belongs to the caller: decode a copy.
    const state = messages.decode(wire.Snapshot, Uint8Array.from(snapshot));
    this.time = state.time;
    this.expiredAt = state.expiredAt;
    this.ledger.restore(state.ledger);
    this.entries.restore(state.entries);
    this.quarantine.restore(state.quarantine);
    this.accounting.restore(state.accounting);
    this.orders.restore(state.orders);
    this.audit.restore(state.audit);
    if (state.zones !== null) {
      this.zones.restore({ revision: state.zones.revision, zones: state.zones.zones });
    }
    this.configuration.restore(state.configuration);
  }

  private dispatch(index: number, command: types.Command): types.Result {
    const { time } = this;
    const present = pattern.P.nonNullable;
    return pattern
      .match(command)
      .with({ apply: present }, ({ apply }) => this.applyConfiguration(apply, command.actor))
      .with({ ledgerBegin: present }, ({ ledgerBegin }) => this.begin(ledgerBegin))
      .with({ ledgerFinish: present }, ({ ledgerFinish }) =>
        doneOrRefusal(this.ledger.finish(ledgerFinish, time)),
      )
      .with({ ledgerResolve: present }, ({ ledgerResolve }) =>
        this.resolve(ledgerResolve, command.actor),
      )
      .with({ ledgerForget: present }, ({ ledgerForget }) =>
        this.forget(ledgerForget, command.actor),
      )
      .with({ tick: present }, ({ tick }) => this.tick(tick))
      .with({ crashReport: present }, ({ crashReport }) => {
        this.quarantine.report(crashReport, time);
        return DONE;
      })
      .with({ quarantineLift: present }, ({ quarantineLift }) =>
        this.lift(quarantineLift, command.actor),
      )
      .with({ zoneOrder: present }, ({ zoneOrder }) => this.orderZone(zoneOrder, command.actor))
      .with({ accountingReport: present }, ({ accountingReport }) => {
        this.accounting.report(accountingReport, command.actor, time);
        return DONE;
      })
      .with({ orderCreate: present }, ({ orderCreate }) => {
        const order = this.orders.create(orderCreate, command.actor, time);
        this.addAuditEntry(command.actor, `order ${orderCreate.action}`, orderCreate.endpoint, '');
        return orderOrRefusal(order);
      })
      .with({ orderClaim: present }, ({ orderClaim }) =>
        orderOrRefusal(this.orders.claim(orderClaim, index, time)),
      )
      .with({ orderSettle: present }, ({ orderSettle }) =>
        orderOrRefusal(this.orders.settle(orderSettle)),
      )
      .otherwise(() => ({
        refusal: { code: 'unknown-command', message: 'this version does not support the command' },
      }));
  }

  private applyConfiguration(
    req: NonNullable<types.Command['apply']>,
    operator: string,
  ): types.Result {
    const result = this.configuration.apply(req, operator, this.time);
    if (result === 'submission-reused') {
      const message = 'the submission id was used before with another text';
      return { refusal: { code: 'submission-reused', message } };
    }
    return { apply: result };
  }

  private begin(req: types.LedgerBegin): types.Result {
    if (!this.entries.has(req.incarnation)) {
      const refused = wire.DecisionState.DECISION_REFUSED;
      return { ledger: { state: refused, message: ledgerMessages.NO_LEASE } };
    }
    return { ledger: this.ledger.begin(req, this.time) };
  }

  private resolve(req: types.LedgerResolve, operator: string): types.Result {
    const refusal = this.ledger.resolve(req, operator, this.time);
    const action = req.ran ? 'ledger resolve --ran' : 'ledger resolve --not-run';
    this.addAuditEntry(
      operator,
      refusal === undefined ? action : `refused: ${action}`,
      req.id,
      req.reason,
    );
    return doneOrRefusal(refusal);
  }

  private forget(req: NonNullable<types.Command['ledgerForget']>, operator: string): types.Result {
    const count = this.ledger.forget(req.before);
    const subject = `${count} keys before ${new Date(req.before).toISOString()}`;
    this.addAuditEntry(operator, 'ledger forget', subject, req.reason);
    return DONE;
  }

  private lift(req: NonNullable<types.Command['quarantineLift']>, operator: string): types.Result {
    if (!this.quarantine.lift(req.fingerprint)) {
      return { refusal: { code: 'not-quarantined', message: `${req.fingerprint} is not listed` } };
    }
    this.addAuditEntry(operator, 'quarantine lift', req.fingerprint, req.reason);
    return DONE;
  }

  private orderZone(
    { zone, closed, reason }: NonNullable<types.Command['zoneOrder']>,
    operator: string,
  ): types.Result {
    const { revision } = this.zones.current;
    this.zones.apply({ zone, isClosed: closed });
    if (this.zones.current.revision !== revision) {
      this.addAuditEntry(operator, closed ? 'zone drain' : 'zone restore', zone, reason);
    }
    return DONE;
  }

  private tick(req: NonNullable<types.Command['tick']>): types.Result {
    this.entries.tick(req.beats, req.grace, this.time).forEach((lease) => {
      this.ledger.expireOwner(lease.incarnation, this.time);
      this.accounting.recordExpiredLease(lease, this.time);
    });
    if (this.time - this.expiredAt >= EXPIRY_INTERVAL_MS) {
      this.expiredAt = this.time;
      this.ledger.expire(this.time);
      this.quarantine.expire(this.time);
      this.accounting.expire(this.time);
    }
    return DONE;
  }

  private addAuditEntry(operator: string, action: string, subject: string, reason: string): void {
    this.audit.add({ time: this.time, operator, action, subject, reason });
  }
}

/**
 * Encodes the zones out of service.
 *
 * @example
 * asClosedZones({ revision: 1, zones: ['north-a'] });
 */
export function asClosedZones({
  revision,
  zones,
}: zoneTypes.IClosedZones): control.wire.ClosedZones.$Properties {
  return { revision, zones: [...zones] };
}

function doneOrRefusal(refusal: control.wire.Refusal.$Properties | undefined): types.Result {
  return refusal === undefined ? DONE : { refusal };
}

function orderOrRefusal(order: types.Order | orderState.IOrderRefusal): types.Result {
  return 'orderId' in order
    ? { order: { order: messages.asProperties(order) } }
    : { refusal: order };
}
