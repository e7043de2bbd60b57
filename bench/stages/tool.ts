/** `node dist/bench/stages/tool.js [SEEDS] [ours|naive]`: plays the scenarios and prints what callers get, by kind. */
import * as naivePlanner from './NaivePlanner.js';
import * as play from './Play.js';
import * as scarceScenarios from './scarceScenarios.js';
import * as scenarios from './scenarios.js';
import type * as types from './Types.js';

const DEFAULT_SEEDS = 3;

function line(result: types.IPlayResult): string {
  const kinds = result.kinds.map(
    (kind) =>
      `${kind.kind} asked ${kind.asked} in ${kind.inTime} late ${kind.late} refused ${kind.refusedAtOnce}+${kind.refusedLater}`,
  );
  const rest = `wasted ${result.wasted.toFixed(3)} no-room ${result.noRoom} gone ${result.gone} full ${result.full.toFixed(3)}`;
  return `credit ${result.share.toFixed(3)}; ${kinds.join('; ')}; ${rest}`;
}

async function main(): Promise<void> {
  const seeds = Number(process.argv[2] ?? DEFAULT_SEEDS);
  const all = scenarios.SCENARIOS.flatMap((scenario) => [
    scenario,
    scenarios.loaded(scenario, 1),
    scenarios.loaded(scenario, 2),
  ]).concat(scenarios.LARGE_SCENARIOS, scenarios.LARGE_DAYS, scarceScenarios.SCARCE_DAYS);
  const planners = [
    ['ours', play.makeCoordinator],
    ['naive', naivePlanner.makeNaive],
  ] as const;
  const wanted = process.argv[3];
  for (const scenario of all) {
    for (const [name, make] of planners.filter(([each]) => (wanted ?? each) === each)) {
      const results: types.IPlayResult[] = [];
      for (let seed = 1; seed <= seeds; seed++) {
        results.push(await new play.Play(scenario, seed, make).run());
      }
      const mean = results.reduce((sum, result) => sum + result.share, 0) / results.length;
      process.stdout.write(`${scenario.name} ${name} mean ${mean.toFixed(3)}\n`);
      process.stdout.write(`  ${line(results[0] as types.IPlayResult)}\n`);
    }
  }
}

void main();
