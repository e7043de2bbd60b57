import type * as stream from 'node:stream';
import type * as commonTypes from '../Types.js';
import * as lineRateLimiter from './LineRateLimiter.js';
import type * as services from './Services.js';

const UNQUOTED_PATTERN = /^[^\s"=]+$/;

type Level = 'info' | 'warn' | 'error';

/**
 * Writes one key=value line for each event to a stream, at a limited rate. Lines over the limit are dropped;
 * the next line that is written carries the number of dropped lines.
 */
export class StreamLogService implements services.ILogService {
  /** Logs events of the process `name` to `out`; every line carries the formatted `fields`. */
  constructor(
    private readonly name: string,
    private readonly clock: commonTypes.IClock,
    out: stream.Writable,
    private readonly fields = '',
    private readonly limiter = new lineRateLimiter.LineRateLimiter(out),
  ) {}

  /** @inheritdoc */
  debug(): void {}

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
    const all = `${this.fields}${formatFields(fields)}`;
    return new StreamLogService(this.name, this.clock, process.stdout, all, this.limiter);
  }

  /** Writes the buffered lines; to be called before the process ends. */
  flush(): void {
    this.limiter.flush();
  }

  private write(level: Level, event: string, fields: services.LogFields = {}): void {
    const now = this.clock.now();
    const time = new Date(now).toISOString();
    const prefix = `time=${time} level=${level} process=${this.name} event=${event}`;
    this.limiter.write(now, `${prefix}${this.fields}${formatFields(fields)}`, level !== 'info');
  }
}

function formatFields(fields: services.LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => ` ${name}=${quote(String(value))}`)
    .join('');
}

function quote(text: string): string {
  return UNQUOTED_PATTERN.test(text) ? text : JSON.stringify(text);
}
