/** Global options of `anvildeckctl`: addresses of the control group, operator key and TLS files. */
import * as fs from 'node:fs';
import * as commander from 'commander';
import type * as commonTypes from '../common/Types.js';
import * as controlClient from '../control/client/ControlClient.js';
import * as usage from './UsageError.js';

interface IConnectionOptions {
  readonly control?: string;
  readonly keyFile?: string;
  readonly tlsCert?: string;
  readonly tlsKey?: string;
  readonly tlsCa?: string;
}

/** Adds the connection options; an unset option is read from its environment variable. */
export function addConnectionOptions(program: commander.Command): void {
  const addOption = (flags: string, text: string, variable: string): void => {
    program.addOption(new commander.Option(flags, text).env(variable));
  };
  addOption('--control <ip:port,…>', 'replicas of the control group', 'ANVILDECK_CONTROL');
  addOption('--key-file <file>', 'file that holds the operator key', 'ANVILDECK_KEY_FILE');
  addOption('--tls-cert <file>', 'certificate in PEM', 'ANVILDECK_TLS_CERT');
  addOption('--tls-key <file>', 'its private key in PEM', 'ANVILDECK_TLS_KEY');
  addOption('--tls-ca <file>', 'authority of the group in PEM', 'ANVILDECK_TLS_CA');
}

/**
 * Creates a client of the control group at the addresses of `--control`; TLS needs all three files.
 *
 * @throws UsageError without `--control`; the error of the file system when the key file cannot be read.
 */
export function connect(
  program: commander.Command,
  clock: commonTypes.IClock,
): controlClient.ControlClient {
  const options = program.opts<IConnectionOptions>();
  if (options.control === undefined) {
    throw new usage.UsageError(
      'missing --control: give the addresses of the control group as ip:port,ip:port,ip:port',
    );
  }
  const { tlsCert: cert, tlsKey: key, tlsCa: ca } = options;
  const tlsSettings = cert && key && ca ? { tls: { cert, key, ca } } : {};
  const { keyFile } = options;
  const operatorSettings =
    keyFile === undefined ? {} : { operatorKey: fs.readFileSync(keyFile, 'utf8').trim() };
  return new controlClient.ControlClient(
    { addresses: options.control.split(','), ...tlsSettings, ...operatorSettings },
    clock,
  );
}
