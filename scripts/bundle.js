// Bundles the programs that run on the platform into target/, one file each, so that a start reads little.
import * as fs from 'node:fs';
import * as esbuild from 'esbuild';

const { outputFiles } = await esbuild.build({
  entryPoints: { entry: 'platform/entry.ts', control: 'platform/control.ts' },
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  external: ['@node-rs/crc32'],
  logLevel: 'warning',
  write: false,
});
fs.mkdirSync('target', { recursive: true });
outputFiles.forEach((file) => {
  // Renamed into place, because test files that run at the same time build and start the programs.
  const partial = `${file.path}.${process.pid}`;
  fs.writeFileSync(partial, file.contents);
  fs.renameSync(partial, file.path);
});
