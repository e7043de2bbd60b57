// npm run bench [-- GROUP...] [-- --json]: installs and builds what is needed, runs the benchmarks.
import * as prepare from './prepare.js';

prepare.install();
prepare.build();
prepare.run(process.execPath, ['dist/bench/main.js', ...process.argv.slice(2)]);
