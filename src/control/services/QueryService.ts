import type * as control from '#wire/control.js';
import * as pattern from 'ts-pattern';
import * as messages from '../../common/wire/Messages.js';
import type * as controlState from '../state/ControlState.js';
import type * as stateTypes from '../state/Types.js';
import type * as controlTypes from '../Types.js';
import type * as services from './Services.js';

const MAX_LISTED = 1000;

type Query = messages.Message<control.wire.Query.$Properties>;
type Answer = control.wire.Answer.$Properties;

/** Answers queries from the state of the leader. */
export class QueryService implements services.IQueryService {
  /** Reads `state`, which `log` drives. */
  constructor(
    private readonly log: controlTypes.IReplicatedLog,
    private readonly state: controlState.ControlState,
    private readonly leases: services.ILeaseService,
  ) {}

  /** @inheritdoc */
  async query(query: Query): Promise<Answer> {
    if (query.status !== null) {
      return { status: this.status() };
    }
    await this.log.readBarrier();
    return this.read(query);
  }

  private read(query: Query): Answer {
    const { state } = this;
    const some = pattern.P.nonNullable;
    return pattern
      .match(query)
      .with({ configuration: some }, ({ configuration }) =>
        this.configuration(configuration.version),
      )
      .with({ history: some }, ({ history }) => ({
        history: {
          versions: state.configuration
            .history(Math.min(history.limit, MAX_LISTED))
            .map((item) => ({ ...messages.asProperties(item), text: '' })),
        },
      }))
      .with({ ledgerList: some }, ({ ledgerList }) => this.ledgerList(ledgerList))
      .with({ ledgerShow: some }, ({ ledgerShow }) => this.ledgerShow(ledgerShow.id))
      .with({ entries: some }, () => ({ entries: { entries: this.entries() } }))
      .with({ quarantine: some }, () => ({ quarantine: state.quarantine.snapshot() }))
      .with({ accounting: some }, ({ accounting }) => ({
        accounting: state.accounting.query(accounting.from, accounting.to),
      }))
      .with({ orders: some }, () => ({ orders: state.orders.snapshot() }))
      .with({ audit: some }, ({ audit }) => ({
        audit: { entries: state.audit.list(audit.limit).map(messages.asProperties) },
      }))
      .otherwise(() => refuse('unknown-query', 'not of this version'));
  }

  private configuration(version: number): Answer {
    const { configuration } = this.state;
    const found = version === 0 ? configuration.current : configuration.get(version);
    if (found === undefined || found.text === '') {
      return refuse('no-version', `version ${version} is not kept`);
    }
    return { configuration: messages.asProperties(found) };
  }

  private ledgerList(req: NonNullable<Query['ledgerList']>): Answer {
    const { ledger } = this.state;
    const passes = (record: stateTypes.LedgerRecord): boolean =>
      (req.state === '' || record.state === req.state) &&
      (req.workspace === '' || record.workspace === req.workspace);
    const records = ledger.list(Math.min(req.limit, MAX_LISTED), passes).map(withoutBody);
    return { ledger: { records, total: ledger.size } };
  }

  private ledgerShow(id: string): Answer {
    const record = /^[0-9a-f]{32}$/.test(id) ? this.state.ledger.get(id) : undefined;
    return record === undefined
      ? refuse('no-record', `no record ${id}`)
      : { ledger: { records: [messages.asProperties(record)], total: this.state.ledger.size } };
  }

  private entries(): control.wire.EntryStatus.$Properties[] {
    return this.state.entries.list().map((entry) => ({
      ...messages.asProperties(entry),
      versionInForce: this.leases.versionAt(entry.incarnation),
    }));
  }

  private status(): control.wire.Status.$Properties {
    const { state } = this;
    const status = this.log.status();
    return {
      replica: status.id,
      role: status.role,
      term: status.term,
      leader: status.leaderId ?? '',
      commitIndex: status.commitIndex,
      appliedIndex: status.appliedIndex,
      members: status.members.map(({ id, address, voter }) => ({ id, address, voter })),
      configurationVersion: state.configuration.version,
      ledgerRecords: state.ledger.size,
      ledgerUnknown: state.ledger.unknownCount,
    };
  }
}

function withoutBody(record: stateTypes.LedgerRecord): control.wire.LedgerRecord.$Properties {
  const { answer } = record;
  const bare =
    answer === null ? null : { ...messages.asProperties(answer), body: new Uint8Array() };
  return { ...messages.asProperties(record), answer: bare };
}

function refuse(code: string, message: string): Answer {
  return { refusal: { code, message } };
}
