// Installs the locked dependencies and builds when they are missing or stale.
import { spawnSync } from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';

/** The repository's top folder. */
export const root = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)));

/** Runs one command from the top folder; exits with its code when it fails. */
export function run(command, args, options = {}) {
  const result = spawnSync(command, args, { cwd: root, stdio: 'inherit', ...options });
  if (result.status !== 0) {
    process.exit(result.status ?? 1);
  }
}

function installed() {
  const marker = path.join(root, 'node_modules', '.package-lock.json');
  const lock = path.join(root, 'package-lock.json');
  return fs.existsSync(marker) && fs.statSync(marker).mtimeMs >= fs.statSync(lock).mtimeMs;
}

/** Installs from the lock file when node_modules is missing or older than it. */
export function install() {
  if (installed()) {
    return;
  }
  console.log('installing dependencies from package-lock.json');
  run('npm', ['ci', '--no-audit', '--no-fund', '--loglevel=error']);
  const marker = path.join(root, 'node_modules', '.package-lock.json');
  const now = new Date();
  fs.utimesSync(marker, now, now);
}

/** Copies committed static code (generated/*.js), which the compiler leaves alone, beside its importers. */
function copyGenerated() {
  const folders = fs
    .readdirSync(path.join(root, 'src'), { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isDirectory() && entry.name === 'generated');
  folders.forEach((entry) => {
    const from = path.join(entry.parentPath, entry.name);
    const to = path.join(root, 'dist', path.relative(root, from));
    fs.cpSync(from, to, { recursive: true });
  });
}

/** Compiles the sources to dist/. */
export function build() {
  console.log('building');
  run(process.execPath, ['node_modules/typescript/bin/tsc', '-p', 'tsconfig.json']);
  copyGenerated();
}
