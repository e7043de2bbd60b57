import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import * as vitest from 'vitest';
import * as disposableStore from '../common/DisposableStore.js';
import * as findingsError from '../common/FindingsError.js';
import * as keyHash from '../common/KeyHash.js';
import * as seededRandom from '../common/SeededRandom.js';
import * as systemClock from '../common/SystemClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import type * as tls from '../common/wire/Tls.js';
import * as sample from '../config/testing/SampleDeclaration.js';
import * as controlClient from './client/ControlClient.js';
import * as controlProcess from './ControlProcess.js';
import * as controlSettings from './ControlSettings.js';

const { afterAll, beforeAll, describe, expect, it } = vitest;
const PEM = path.join(path.dirname(url.fileURLToPath(import.meta.url)), 'testing/tls');

function files(name: string, ca = 'ca'): tls.TlsFiles {
  const of = (file: string): string => path.join(PEM, file);
  return { cert: of(`${name}.pem`), key: of(`${name}.key`), ca: of(`${ca}.pem`) };
}

describe('control with TLS and operators', () => {
  const store = new disposableStore.DisposableStore();
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'anvildeck-tls-'));
  const clock = new systemClock.SystemClock();
  const ann = keyHash.newKey();
  let address: string;

  function settings(lines: readonly string[]): controlSettings.ControlSettings {
    const file = path.join(folder, 'control.toml');
    fs.writeFileSync(file, lines.join('\n'));
    return controlSettings.readControlSettings(file);
  }

  function findingsOf(lines: readonly string[]): readonly string[] {
    try {
      settings(lines);
      return [];
    } catch (err) {
      return (err as findingsError.FindingsError).findings.map((finding) => finding.path);
    }
  }

  function client(pem: tls.TlsFiles | undefined, operatorKey?: string) {
    const options = {
      addresses: [address],
      ...(pem === undefined ? {} : { tls: pem }),
      ...(operatorKey === undefined ? {} : { operatorKey }),
    };
    return store.add(new controlClient.ControlClient(options, clock));
  }

  const apply = (by: controlClient.ControlClient, timeout = 5000) =>
    by.execute(
      { apply: { submissionId: 's1', baseVersion: 0, text: sample.SAMPLE_TOML } },
      { timeout },
    );

  beforeAll(async () => {
    const { id, salt, hash } = ann.stored;
    const pem = files('node');
    const cfg = settings([
      'id = "c1"',
      'listen = "127.0.0.1:0"',
      `data_dir = "${folder}/data"`,
      '[[peers]]\nid = "c1"\naddress = "127.0.0.1:1"',
      `[tls]\ncert = "${pem.cert}"\nkey = "${pem.key}"\nca = "${pem.ca}"`,
      `[[operators]]\nname = "ann"\nid = "${id}"\nsalt = "${salt}"\nhash = "${hash}"`,
    ]);
    const dependencies = {
      clock,
      random: new seededRandom.SeededRandom(1),
      logService: new recordingLog.RecordingLogService(),
      metrics: new recordingMetrics.RecordingMetricsService(),
    };
    const running = store.add(await controlProcess.ControlProcess.start(cfg, dependencies));
    address = running.address;
  });

  afterAll(() => {
    store.dispose();
    fs.rmSync(folder, { recursive: true });
  });

  it('serves an operator with a certificate and a key, and records the name of the key', async () => {
    const operator = client(files('node'), ann.text);
    expect((await apply(operator)).apply?.accepted).toBe(true);
    const { history } = await operator.query({ history: { limit: 1 } });
    expect(history?.versions[0]?.operator).toBe('ann');
  });

  it('rejects connections without a certificate of the configured authority', async () => {
    const unauthorized = [client(undefined, ann.text), client(files('stranger', 'ca'), ann.text)];
    await Promise.all(
      unauthorized.map((unknownClient) =>
        expect(apply(unknownClient, 500)).rejects.toThrow('did not answer in time'),
      ),
    );
  });

  it('rejects operator commands without an operator key, and internal commands always', async () => {
    await expect(apply(client(files('node')))).rejects.toThrow('needs an operator key');
    const other = keyHash.newKey(ann.stored.id);
    await expect(apply(client(files('node'), other.text))).rejects.toThrow('key is unknown');
    const tick = client(files('node'), ann.text).execute({ tick: {} });
    await expect(tick).rejects.toThrow('reserved for the control group');
  });

  it('requires TLS and operators in the settings to listen beyond loopback', () => {
    const open = ['id = "c1"', 'listen = "10.0.0.1:7000"', 'data_dir = "/tmp/x"'];
    expect(findingsOf(open)).toEqual(['listen', 'operators']);
    const peer = '[[peers]]\nid = "c1"\naddress = "10.0.0.1:7000"';
    const near = ['id = "c1"', 'listen = "127.0.0.1:7000"', 'data_dir = "/tmp/x"', peer];
    expect(findingsOf(near)).toEqual(['peers[0].address']);
    expect(findingsOf([...near, '[tls]\ncert = "a"\nkey = "b"\nca = "c"'])).toEqual([]);
  });
});
