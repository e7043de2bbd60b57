import * as http from 'node:http';
import type * as commonTypes from '../../common/Types.js';
import * as requestError from '../../common/RequestError.js';
import * as recordingLog from '../../common/testing/RecordingLogService.js';
import * as responseEnd from '../../common/wire/ResponseEnd.js';
import * as atMostOnceRunner from '../../entry/pipeline/AtMostOnceRunner.js';
import type * as pipelineTypes from '../../entry/pipeline/Types.js';
import * as controlServices from '../../entry/services/ControlServices.js';
import type * as services from '../../entry/services/Services.js';

const POST_TIMEOUT_MS = 20_000;

/** Points of a posting, in order, from before it is recorded in the ledger until its outcome is recorded. */
export const CALL_POINTS = [
  'before-begin',
  'begin-sent',
  'granted',
  'first-byte',
  'answered',
  'finish-sent',
  'finished',
] as const;

/** One of CALL_POINTS. */
export type CallPoint = (typeof CALL_POINTS)[number];

/** Called at each point; the posting continues when the promise resolves. */
export type CallPointListener = (point: CallPoint) => Promise<void>;

/** Result of a posting as its caller sees it. */
export interface IPostingResult {
  readonly run: string;
  readonly text: string;
}

/** Posts through the ledger as an entry does, and awaits its listener at each point. */
export class PostingCaller implements commonTypes.IDisposable {
  private readonly control: controlServices.ControlServices;

  /** Connects to the control group as a separate entry; `port` is that of the posting service. */
  constructor(
    addresses: readonly string[],
    private readonly port: number,
    private readonly clock: commonTypes.IClock,
    private readonly onPoint: CallPointListener = () => Promise.resolve(),
  ) {
    const options = { name: 'caller', zone: 'zone-a', control: { addresses } };
    const log = new recordingLog.RecordingLogService();
    this.control = new controlServices.ControlServices(options, clock, log);
  }

  /** Posts a key and resolves with the result that an entry returns to its caller; does not reject. */
  async post(key: string): Promise<IPostingResult> {
    const log = new recordingLog.RecordingLogService();
    const runner = new atMostOnceRunner.AtMostOnceRunner(this.observedLedger(), log);
    const intent = {
      workspace: 'acme',
      target: 'register/postings',
      key,
      bodyHash: 'hash',
      createdAt: this.clock.now(),
      requestId: `req-${key}`,
    };
    await this.onPoint('before-begin');
    try {
      const answer = await runner.run(intent, AbortSignal.timeout(POST_TIMEOUT_MS), () =>
        this.call(key),
      );
      return { run: 'run', text: Buffer.from(answer.body).toString() };
    } catch (err) {
      const run = err instanceof requestError.RequestError ? err.run : 'unknown';
      return { run, text: err instanceof Error ? err.message : String(err) };
    }
  }

  /** Reports pending data to the control group and ends the entry's lease. */
  drain(): Promise<void> {
    return this.control.drain();
  }

  /** @inheritdoc */
  dispose(): void {
    this.control.dispose();
  }

  private observedLedger(): services.ILedgerService {
    const { ledger } = this.control;
    return {
      begin: async (intent, signal) => {
        const pending = ledger.begin(intent, signal);
        pending.catch(() => {});
        await this.onPoint('begin-sent');
        const decision = await pending;
        await (decision.state === 'granted' ? this.onPoint('granted') : undefined);
        return decision;
      },
      wait: (intent, signal) => ledger.wait(intent, signal),
      finish: async (intent, token, outcome) => {
        const pending = ledger.finish(intent, token, outcome);
        pending.catch(() => {});
        await this.onPoint('finish-sent');
        await pending;
        await this.onPoint('finished');
      },
    };
  }

  private async call(key: string): Promise<pipelineTypes.IWholeAnswer> {
    let firstByte = Promise.resolve();
    const answer = await new Promise<pipelineTypes.IWholeAnswer>((resolve, reject) => {
      const headers = { 'idempotency-key': key };
      const { port } = this;
      const req = http.request({ host: '127.0.0.1', port, method: 'POST', headers }, (res) => {
        const end = new responseEnd.ResponseEnd(res);
        const chunks: Buffer[] = [];
        res.on('data', (chunk: Buffer) => chunks.push(chunk));
        res.on('error', reject);
        res.on('end', () => {
          if (!end.isComplete) {
            reject(new Error('the answer broke off'));
            return;
          }
          const body = Buffer.concat(chunks);
          resolve({ kind: 'whole', status: 201, contentType: 'text/plain', body });
        });
      });
      req.on('error', reject);
      req.end('{}', () => {
        firstByte = this.onPoint('first-byte');
      });
    });
    await firstByte;
    await this.onPoint('answered');
    return answer;
  }
}
