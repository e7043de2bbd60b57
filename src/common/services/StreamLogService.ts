import type * as stream from 'node:stream';
import type * as commonTypes from '../Types.js';
import * as lineRateLimiter from './LineRateLimiter.js';
import type * as services from './Services.js';

const PLAIN = /^[^\s"=]+$/;

type Level = 'info' | 'warn' | 'error';

/**
 * Writes one key=value line for each event to a stream, never more than a bound: lines over it are dropped
 * and counted on the next line.
 */
export class StreamLogService implements services.ILogService {
  /** Logs for the process `name`. */
  constructor(
    private readonly name: string,
    private readonly clock: commonTypes.IClock,
    out: stream.Writable,
    private readonly fields = '',
    private readonly gate = new lineRateLimiter.LineRateLimiter(out),
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
    const all = `${this.fields}${format(fields)}`;
    return new StreamLogService(this.name, this.clock, process.stdout, all, this.gate);
  }

  /** Writes what waits, before the process ends. */
  flush(): void {
    this.gate.flush();
  }

  private write(level: Level, event: string, fields: services.LogFields = {}): void {
    const now = this.clock.now();
    const time = new Date(now).toISOString();
    const head = `time=${time} level=${level} process=${this.name} event=${event}`;
    this.gate.write(now, `${head}${this.fields}${format(fields)}`, level !== 'info');
  }
}

function format(fields: services.LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => ` ${name}=${quote(String(value))}`)
    .join('');
}

function quote(text: string): string {
  return PLAIN.test(text) ? text : JSON.stringify(text);
}
