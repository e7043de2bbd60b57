/** Interfaces of the logging and metrics services that every process uses. */

/** Value of a log field; undefined fields are left out. */
export type LogValue = string | number | boolean | undefined;

/** Fields of one log event by name. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** Logs events, one line of key=value pairs for each event. */
export interface ILogService {
  /** Logs details for developers. */
  debug(event: string, fields?: LogFields): void;
  /** Logs normal operation. */
  info(event: string, fields?: LogFields): void;
  /** Logs a condition that an operator may have to look into. */
  warn(event: string, fields?: LogFields): void;
  /** Logs a failure. */
  error(event: string, fields?: LogFields): void;
  /** Returns a log service that adds these fields to every event. */
  child(fields: LogFields): ILogService;
}

/** Tags of a metric by name. */
export type MetricTags = Readonly<Record<string, string>>;

/** Records counters, gauges and timings. */
export interface IMetricsService {
  /** Adds `by` (default 1) to a counter. */
  count(name: string, tags?: MetricTags, by?: number): void;
  /** Sets a gauge to a value. */
  gauge(name: string, value: number, tags?: MetricTags): void;
  /** Records a duration in milliseconds. */
  timing(name: string, millis: number, tags?: MetricTags): void;
}
