// npm run demo: install, build, then a whole deployment on loopback.
import * as prepare from './prepare.js';

prepare.install();
prepare.build();
prepare.run(process.execPath, ['dist/examples/demo/main.js', ...process.argv.slice(2)]);
