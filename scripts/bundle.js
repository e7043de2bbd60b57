// Bundles the programs that run on the platform into target/, one file each, so that a start reads little.
import * as esbuild from 'esbuild';

await esbuild.build({
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
});
