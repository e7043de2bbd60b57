import type * as services from '../services/Services.js';

/** One recorded event; `fields` include those of the log service. */
export interface IRecordedEvent {
  readonly level: string;
  readonly event: string;
  readonly fields: services.LogFields;
}

/** A log service for tests that records all events. */
export class RecordingLogService implements services.ILogService {
  /** Records to `events`, which child log services share. */
  constructor(
    readonly events: IRecordedEvent[] = [],
    private readonly fields: services.LogFields = {},
  ) {}

  /** @inheritdoc */
  debug(event: string, fields: services.LogFields = {}): void {
    this.events.push({ level: 'debug', event, fields: { ...this.fields, ...fields } });
  }

  /** @inheritdoc */
  info(event: string, fields: services.LogFields = {}): void {
    this.events.push({ level: 'info', event, fields: { ...this.fields, ...fields } });
  }

  /** @inheritdoc */
  warn(event: string, fields: services.LogFields = {}): void {
    this.events.push({ level: 'warn', event, fields: { ...this.fields, ...fields } });
  }

  /** @inheritdoc */
  error(event: string, fields: services.LogFields = {}): void {
    this.events.push({ level: 'error', event, fields: { ...this.fields, ...fields } });
  }

  /** @inheritdoc */
  child(fields: services.LogFields): services.ILogService {
    return new RecordingLogService(this.events, { ...this.fields, ...fields });
  }
}
