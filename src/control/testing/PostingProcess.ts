/** Process that posts one key and sends itself SIGKILL at a given point; started by the ledger tests. */
import * as systemClock from '../../common/SystemClock.js';
import * as postingCaller from './PostingCaller.js';

const [addresses = '', port = '0', key = '', killAt = ''] = process.argv.slice(2);

const caller = new postingCaller.PostingCaller(
  addresses.split(','),
  Number(port),
  new systemClock.SystemClock(),
  (point) => {
    if (point === killAt) {
      process.kill(process.pid, 'SIGKILL');
    }
    return Promise.resolve();
  },
);

void caller
  .post(key)
  .then((result) => process.stdout.write(`${result.run} ${result.text}\n`))
  .finally(() => process.exit(0));
