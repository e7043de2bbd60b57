// npm run proto: writes the static code of every .proto file beside it, in generated/. The result is committed.
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as prepare from './prepare.js';

const PROTOS = [
  'src/common/wire/control.proto',
  'src/control/log/log.proto',
  'src/control/replication/replication.proto',
  'src/entry/peers/held.proto',
  'src/membership/exchange.proto',
];
const BIN = 'node_modules/protobufjs-cli/bin';

function generate(proto) {
  const name = path.basename(proto, '.proto');
  const folder = path.join(path.dirname(proto), 'generated');
  const js = path.join(folder, `${name}.js`);
  const typed = path.join(folder, `${name}.tmp.js`);
  const common = ['-t', 'static-module', '-w', 'es6', '--dependency', 'protobufjs/minimal.js'];
  const lean = ['--no-service', '--no-delimited', '--no-verify', '--no-convert', '--no-typeurl'];
  const options = [...common, ...lean, '-r', name, proto];
  fs.mkdirSync(path.join(prepare.root, folder), { recursive: true });
  const pbjs = (...args) => prepare.run(process.execPath, [`${BIN}/pbjs`, ...args, ...options]);
  pbjs('--no-comments', '-o', js);
  // The declarations are made from the comments, which the committed code leaves out.
  pbjs('-o', typed);
  prepare.run(process.execPath, [`${BIN}/pbts`, '-o', path.join(folder, `${name}.d.ts`), typed]);
  fs.rmSync(path.join(prepare.root, typed));
}

PROTOS.filter((proto) => fs.existsSync(path.join(prepare.root, proto))).forEach(generate);
