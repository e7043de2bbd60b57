// npm run metrics: writes docs/METRICS.md from the tables in code.
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as prepare from './prepare.js';

prepare.install();
prepare.build();
const page = await import('../dist/src/common/MetricsPage.js');
fs.writeFileSync(path.join(prepare.root, 'docs', 'METRICS.md'), page.renderMetricsPage());
