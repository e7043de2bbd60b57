// npm run docs:check [-- PAGE...]: runs what the pages say, as written, and checks that their links lead somewhere.
//
// A fenced block whose info string is `sh runnable` is run. All such blocks of a page run in one shell, in their
// order, from the top folder; what they start in the background is ended with the page. `exit=N` after `runnable`
// says that the block's last command ends with N. A page with a block `sh runnable group` gets a control group of one
// replica with the Kalinaw declaration in force, and runs in a folder of its own. The binaries of package.json are on the PATH, as after `npm link`.
import { spawnSync } from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import { performance } from 'node:perf_hooks';
import * as prepare from './prepare.js';

const PAGE_TIMEOUT_MS = 600_000;
const OUT_FOLDER = path.join(prepare.root, 'out', 'docs');
const BIN_FOLDER = path.join(OUT_FOLDER, 'bin');
const BLOCK_PATTERN = /^```sh runnable(?: group)?(?: exit=(\d+))?\n([\s\S]*?)^```$/gm;
const GROUP_PATTERN = /^```sh runnable group/m;
const GROUP_ADDRESS = '127.0.0.1:17411';
const LINK_PATTERN = /\]\(([^)#\s]+)(?:#[^)]*)?\)/g;

function findPages(folder) {
  return fs.readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const file = path.join(folder, entry.name);
    if (entry.isDirectory()) {
      return findPages(file);
    }
    return entry.name.endsWith('.md') ? [file] : [];
  });
}

function allPages() {
  const top = ['README.md', 'CONTRIBUTING.md'].map((name) => path.join(prepare.root, name));
  return [...top, ...findPages(path.join(prepare.root, 'docs'))].filter((file) =>
    fs.existsSync(file),
  );
}

/** Links to files of the repository that are not there. */
function brokenLinks(page, text) {
  return [...text.matchAll(LINK_PATTERN)]
    .map((match) => match[1])
    .filter((target) => !/^[a-z]+:/.test(target))
    .filter((target) => !fs.existsSync(path.resolve(path.dirname(page), target)));
}

/** Starts a control group of one replica, applies a declaration and moves to a folder of its own. */
const GROUP_SCRIPT = `
rm -rf out/docs/group && mkdir -p out/docs/group && cp examples/kalinaw/kalinaw.toml out/docs/group
cd out/docs/group
cat > control.toml <<'TOML'
id = "control-1"
listen = "${GROUP_ADDRESS}"
data_dir = "data"
peers = [{ id = "control-1", address = "${GROUP_ADDRESS}" }]
TOML
anvildeck-control --config control.toml > control.log &
export ANVILDECK_CONTROL=${GROUP_ADDRESS}
anvildeckctl apply kalinaw.toml
`;

/** One script for a page: every block, then the end of what it left running. */
function scriptOf(text) {
  const blocks = [...text.matchAll(BLOCK_PATTERN)].map(([, exit, body]) =>
    exit === undefined
      ? body
      : `set +e\n(\nset -e\n${body})\ncode=$?\nset -e\n[ "$code" = ${exit} ] || { echo "ended with $code, not ${exit}"; exit 1; }\n`,
  );
  if (blocks.length === 0) {
    return undefined;
  }
  const end = 'trap \'for pid in $(jobs -p); do kill "$pid" 2>/dev/null || true; done; wait\' EXIT';
  const group = GROUP_PATTERN.test(text) ? [GROUP_SCRIPT] : [];
  return ['set -euo pipefail', end, ...group, ...blocks].join('\n');
}

function writeBinaries() {
  const { bin } = JSON.parse(fs.readFileSync(path.join(prepare.root, 'package.json'), 'utf8'));
  fs.mkdirSync(BIN_FOLDER, { recursive: true });
  Object.entries(bin).forEach(([name, file]) => {
    const target = path.join(prepare.root, file);
    const script = `#!/bin/sh\nexec "${process.execPath}" "${target}" "$@"\n`;
    fs.writeFileSync(path.join(BIN_FOLDER, name), script, { mode: 0o755 });
  });
}

function runPage(script) {
  const result = spawnSync('bash', ['-c', script], {
    cwd: prepare.root,
    encoding: 'utf8',
    timeout: PAGE_TIMEOUT_MS,
    env: { ...process.env, PATH: `${BIN_FOLDER}${path.delimiter}${process.env.PATH}` },
  });
  const output = `${result.stdout}${result.stderr}`;
  return { ok: result.status === 0, output: result.error ? `${output}${result.error}` : output };
}

function checkPage(page) {
  const name = path.relative(prepare.root, page);
  const text = fs.readFileSync(page, 'utf8');
  const broken = brokenLinks(page, text);
  broken.forEach((target) => console.log(`${name}: link to ${target} leads nowhere`));
  const script = scriptOf(text);
  if (script === undefined) {
    return broken.length === 0;
  }
  const started = performance.now();
  const { ok, output } = runPage(script);
  const seconds = ((performance.now() - started) / 1000).toFixed(1);
  console.log(`${name}: ${ok ? 'ran as written' : 'FAILED'} (${seconds} s)`);
  if (!ok) {
    console.log(output);
  }
  return ok && broken.length === 0;
}

prepare.install();
prepare.build();
fs.rmSync(OUT_FOLDER, { recursive: true, force: true });
writeBinaries();
const wanted = process.argv.slice(2).map((name) => path.resolve(name));
const pages = wanted.length > 0 ? wanted : allPages();
const failed = pages.map(checkPage).filter((ok) => !ok).length;
console.log(`${pages.length} pages, ${failed} with faults`);
process.exit(failed === 0 ? 0 : 1);
