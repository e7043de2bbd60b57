import type * as control from '#wire/control.js';
import * as pattern from 'ts-pattern';
import * as messages from '../../common/wire/Messages.js';
import * as controlState from '../state/ControlState.js';
import type * as stateTypes from '../state/Types.js';
import type * as controlTypes from '../Types.js';
import type * as services from './Services.js';

const MAX_LISTED_ITEMS = 1000;

type Query = messages.Message<control.wire.Query.$Properties>;
type Answer = control.wire.Answer.$Properties;

/** Answers queries from the leader's state. */
export class QueryService implements services.IQueryService {
  /** Reads `state`, to which `log` applies its commands. */
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
    const present = pattern.P.nonNullable;
    return pattern
      .match(query)
      .with({ configuration: present }, ({ configuration }) =>
        this.configuration(configuration.version),
      )
      .with({ history: present }, ({ history }) => ({
        history: {
          versions: state.configuration
            .history(Math.min(history.limit, MAX_LISTED_ITEMS))
            .map((item) => ({ ...messages.asProperties(item), text: '' })),
        },
      }))
      .with({ ledgerList: present }, ({ ledgerList }) => this.ledgerList(ledgerList))
      .with({ ledgerShow: present }, ({ ledgerShow }) => this.ledgerShow(ledgerShow.id))
      .with({ entries: present }, () => ({ entries: { entries: this.entries() } }))
      .with({ quarantine: present }, () => ({ quarantine: state.quarantine.snapshot() }))
      .with({ zones: present }, () => ({
        zones: controlState.asClosedZones(state.zones.current),
      }))
      .with({ accounting: present }, ({ accounting }) => ({
        accounting: state.accounting.query(accounting.from, accounting.to),
      }))
      .with({ orders: present }, () => ({ orders: state.orders.snapshot() }))
      .with({ audit: present }, ({ audit }) => ({
        audit: { entries: state.audit.list(audit.limit).map(messages.asProperties) },
      }))
      .otherwise(() => refusalAnswer('unknown-query', 'this version does not support the query'));
  }

  private configuration(version: number): Answer {
    const { configuration } = this.state;
    const found = version === 0 ? configuration.current : configuration.get(version);
    if (found === undefined || found.text === '') {
      return refusalAnswer('no-version', `version ${version} is not stored`);
    }
    return { configuration: messages.asProperties(found) };
  }

  private ledgerList(req: NonNullable<Query['ledgerList']>): Answer {
    const { ledger } = this.state;
    const matches = (record: stateTypes.LedgerRecord): boolean =>
      (req.state === '' || record.state === req.state) &&
      (req.workspace === '' || record.workspace === req.workspace);
    const records = ledger.list(Math.min(req.limit, MAX_LISTED_ITEMS), matches).map(withoutBody);
    return { ledger: { records, total: ledger.size } };
  }

  private ledgerShow(id: string): Answer {
    const record = /^[0-9a-f]{32}$/.test(id) ? this.state.ledger.get(id) : undefined;
    return record === undefined
      ? refusalAnswer('no-record', `no record ${id}`)
      : { ledger: { records: [messages.asProperties(record)], total: this.state.ledger.size } };
  }

  private entries(): control.wire.EntryStatus.$Properties[] {
    return this.state.entries.list().map((entry) => ({
      ...messages.asProperties(entry),
      versionInForce: this.leases.versionInForce(entry.incarnation),
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

function refusalAnswer(code: string, message: string): Answer {
  return { refusal: { code, message } };
}
