// npm run slopes: installs and builds what is needed, measures the slopes, writes docs/slopes.json
// and recomputes the tables of docs/CAPACITY.md. With --page only the page is recomputed.
import * as prepare from './prepare.js';

prepare.install();
prepare.build();
prepare.run(process.execPath, [
  '--expose-gc',
  'dist/bench/slopes/main.js',
  ...process.argv.slice(2),
]);
