// npm test: install, type check and build, linter, format check, tests.
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as prepare from './prepare.js';

prepare.install();
prepare.build();
const node = process.execPath;
console.log('linting');
prepare.run(node, ['node_modules/eslint/bin/eslint.js', '.', '--max-warnings', '0']);
console.log('checking format');
prepare.run(node, [
  'node_modules/prettier/bin/prettier.cjs',
  '--check',
  '--log-level',
  'warn',
  '.',
]);
prepare.run(node, ['node_modules/vitest/vitest.mjs', 'run', ...process.argv.slice(2)]);

const knownRed = path.join(prepare.root, 'KNOWN-RED.txt');
if (fs.existsSync(knownRed)) {
  console.log(fs.readFileSync(knownRed, 'utf8'));
}
