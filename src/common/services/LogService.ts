import * as logfmt from 'logfmt';
import * as loglevel from 'loglevel';
import type * as commonTypes from '../Types.js';
import * as lineBuffer from './LineBuffer.js';
import type * as services from './Services.js';

/** Log levels allowed in settings, in ascending order of severity. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error', 'silent'] as const;

/** One of LOG_LEVELS. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Shared by all loggers of the process, since all of them write to standard error. */
const STDERR_BUFFER = new lineBuffer.LineBuffer((text) => process.stderr.write(text));

/** Writes events to standard error through loglevel, formatted with logfmt. */
export class LogService implements services.ILogService {
  private readonly logger: loglevel.Logger;

  /** Logs events of `level` and above for the process `name`; every event carries `fields`. */
  constructor(
    private readonly name: string,
    private readonly level: LogLevel,
    private readonly clock: commonTypes.IClock,
    private readonly fields: services.LogFields = {},
  ) {
    this.logger = loglevel.default.getLogger(name);
    this.logger.methodFactory = () => (line: string) => STDERR_BUFFER.add(line);
    this.logger.setLevel(level);
  }

  /** @inheritdoc */
  debug(event: string, fields?: services.LogFields): void {
    this.write('debug', event, fields);
  }

  /** @inheritdoc */
  info(event: string, fields?: services.LogFields): void {
    this.write('info', event, fields);
  }

  /** @inheritdoc */
  warn(event: string, fields?: services.LogFields): void {
    this.write('warn', event, fields);
  }

  /** @inheritdoc */
  error(event: string, fields?: services.LogFields): void {
    this.write('error', event, fields);
  }

  /** @inheritdoc */
  child(fields: services.LogFields): services.ILogService {
    return new LogService(this.name, this.level, this.clock, { ...this.fields, ...fields });
  }

  private write(
    level: 'debug' | 'info' | 'warn' | 'error',
    event: string,
    fields?: services.LogFields,
  ): void {
    if (LOG_LEVELS.indexOf(level) < LOG_LEVELS.indexOf(this.level)) {
      return;
    }
    const time = new Date(this.clock.now()).toISOString();
    const record = { time, level, process: this.name, event, ...this.fields, ...fields };
    const defined = Object.entries(record).filter(([, value]) => value !== undefined);
    this.logger[level](logfmt.default.stringify(Object.fromEntries(defined)));
  }
}
