/** The demo: a whole deployment on loopback, one request of each kind, and what they got. */
import * as path from 'node:path';
import * as url from 'node:url';
import * as commander from 'commander';
import * as fleets from './Fleet.js';
import * as kalinaw from './Kalinaw.js';
import * as kommundata from './Kommundata.js';
import * as sender from './Sender.js';
import * as tables from './Tables.js';
import type * as types from './Types.js';

const DEPLOYMENTS: Readonly<Record<string, types.IDemoDeployment>> = {
  kalinaw: kalinaw.KALINAW,
  kommundata: kommundata.KOMMUNDATA,
};

interface IOptions {
  readonly keep: boolean;
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function showProgress(step: string, done: number, total: number): void {
  if (done === total) {
    print(`  ${step}: ${done}/${total}`);
  }
}

async function sendAll(
  fleet: fleets.Fleet,
  deployment: types.IDemoDeployment,
): Promise<readonly types.IDemoResult[]> {
  const { kinds } = deployment.declaration(fleet.addresses);
  const results: types.IDemoResult[] = [];
  for (const [index, request] of deployment.requests.entries()) {
    // Each goes through the next entry, so that the same posting meets two of them.
    const entry = fleet.entryUrls[index % fleet.entryUrls.length] ?? '';
    results.push(await sender.send(entry, deployment, request, kinds));
  }
  return results;
}

function printCurlLines(fleet: fleets.Fleet, deployment: types.IDemoDeployment): void {
  print(`\nLeft running until Ctrl-C; files and logs are in ${fleet.folder}. Try:\n`);
  deployment.requests.forEach((request, index) => {
    const entry = fleet.entryUrls[index % fleet.entryUrls.length] ?? '';
    print(`# ${request.title}\n${sender.curlLine(entry, deployment, request)}\n`);
  });
  print(`# as an operator\nnpx anvildeckctl --control ${fleet.controlAddresses.join(',')} history`);
}

function untilInterrupted(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });
}

async function run(deployment: types.IDemoDeployment, options: IOptions): Promise<boolean> {
  const dist = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../..');
  const fleet = new fleets.Fleet(deployment, dist, showProgress);
  try {
    print(`Starting ${deployment.name} on loopback`);
    await fleet.start();
    const results = await sendAll(fleet, deployment);
    print('');
    print(tables.requestTable(results));
    const report = await fleet.report(results.length);
    print(`\nAttainment by kind of request\n${tables.attainmentTable(report)}`);
    print(`\nCost by stage, in replica seconds\n${tables.costTable(report)}`);
    if (options.keep) {
      printCurlLines(fleet, deployment);
      await untilInterrupted();
    }
    return results.every((result) => result.inTime);
  } finally {
    await fleet.stop();
  }
}

async function main(): Promise<void> {
  const program = new commander.Command('demo')
    .argument('[deployment]', `one of ${Object.keys(DEPLOYMENTS).join(', ')}`, 'kalinaw')
    .option('--keep', 'leave it running and print curl lines', false)
    .parse();
  const name = program.args[0] ?? 'kalinaw';
  const deployment = DEPLOYMENTS[name];
  if (!deployment) {
    program.error(`no deployment ${name}; there are: ${Object.keys(DEPLOYMENTS).join(', ')}`);
    return;
  }
  const whole = await run(deployment, program.opts<IOptions>());
  process.exitCode = whole ? 0 : 1;
}

main().catch((err: unknown) => {
  process.stderr.write(`demo: ${(err as Error).message}\n`);
  process.exitCode = 1;
});
