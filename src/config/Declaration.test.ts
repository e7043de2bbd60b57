import * as fc from 'fast-check';
import * as vitest from 'vitest';
import * as findingsError from '../common/FindingsError.js';
import * as declaration from './Declaration.js';
import * as diff from './Diff.js';
import * as sample from './testing/SampleDeclaration.js';

const FILE = 'sample.toml';

function findingsOf(text: string): readonly string[] {
  try {
    declaration.parseDeclaration(FILE, text);
  } catch (err) {
    return (err as findingsError.FindingsError).findings.map(findingsError.formatFinding);
  }
  return [];
}

/** The sample declaration with the first occurrence of `from` replaced; fails if there is none. */
function replaceInSample(from: string, to: string): string {
  vitest.expect(sample.SAMPLE_TOML).toContain(from);
  return sample.SAMPLE_TOML.replace(from, to);
}

function lineOf(text: string, part: string): number {
  return text.slice(0, text.indexOf(part)).split('\n').length;
}

vitest.describe('parseDeclaration', () => {
  vitest.it('applies the defaults and parses its own rendering to an equal declaration', () => {
    const parsed = declaration.parseDeclaration(FILE, sample.SAMPLE_TOML);
    vitest.expect(parsed.version).toBe(0);
    vitest.expect(parsed.kinds[0]).toMatchObject({ deadlineMs: 500, patience: 'interactive' });
    vitest.expect(parsed.pools[2]?.endpoints[0]).toMatchObject({ role: 'both' });
    vitest.expect(parsed.pipelines[0]?.stages[0]?.repeatable).toBe(true);
    const text = declaration.renderDeclaration(parsed);
    vitest.expect(declaration.parseDeclaration(FILE, text)).toEqual(parsed);
  });

  vitest.it.each([
    ['deadline_ms = 500', 'deadline_ms = 0', 'more than 0'],
    ['share = 2', 'share = 0', 'more than 0'],
    ['"127.0.0.1:9001"', '"encoder.example:9001"', 'an IP address and a port'],
    ['"127.0.0.1:9001"', '"127.0.0.1:70000"', 'an IP address and a port'],
    ['"[::1]:9003"', '"127.0.0.1:9004"', 'another address'],
    ['"encoder-1"', '"llm-1"', 'another name'],
    ['zone = "zone-a"', 'zone = "zone-b"', 'one of "zone-a"'],
    ['pool = "llm"', 'pool = "gpu"', 'one of "encoders", "rerankers", "llm", "register"'],
    ['pool = "llm"', 'pool = "encoders"', 'one of "llm"'],
    ['kind = "summary"', 'kind = "report"', 'one of "lookup", "summary"'],
    ['max_tokens = 200', 'max_tokens = 0', 'more than 0'],
    ['repeatable = false', 'repeatable = true', 'repeatable = false as well'],
    ['path = "postings"', 'path = "/postings"', 'without a leading slash'],
    ['cost_target = 0.5', 'cost_target = 0.5\nattainment_target = 1.5', 'at most 1'],
    ['kind = "encoding"\n\n', 'kind = "encoding"\nresumable = true\n\n', 'false, or leave it out'],
  ])('reports one finding with its line when %j is replaced by %j', (from, to, expected) => {
    const text = replaceInSample(from, to);
    const findings = findingsOf(text);
    vitest.expect(findings).toHaveLength(1);
    vitest.expect(findings[0]).toContain(expected);
    vitest.expect(findings[0]).toMatch(/^sample\.toml:\d+: /);
  });

  vitest.it('reports the line of the faulty entry among similar entries', () => {
    const text = replaceInSample('address = "127.0.0.1:9004"', 'address = "nowhere"');
    const line = lineOf(text, 'address = "nowhere"');
    vitest
      .expect(findingsOf(text)[0])
      .toContain(`sample.toml:${line}: pools[3].endpoints[0].address`);
  });

  vitest.it('reports schema and reference faults together', () => {
    const text = replaceInSample('deadline_ms = 500', 'deadline = 500').replace(
      '"zone-a"',
      '"zone-z"',
    );
    const paths = findingsOf(text).join('\n');
    vitest.expect(paths).toContain('kinds[0].deadline_ms');
    vitest.expect(paths).toContain('kinds[0].deadline:');
    vitest.expect(paths.match(/\.zone: /g)).toHaveLength(4);
  });

  vitest.it('wants three to six stages', () => {
    const stage = '[[pipelines.stages]]\nname = "rerank"\nkind = "reranking"\npool = "rerankers"\n';
    vitest.expect(findingsOf(replaceInSample(stage, ''))[0]).toContain('at least 3 entries');
    const many = [1, 2, 3, 4].map((n) => stage.replace('"rerank"', `"rerank-${n}"`)).join('\n');
    vitest
      .expect(findingsOf(replaceInSample(stage, `${stage}${many}`))[0])
      .toContain('at most 6 entries');
  });

  vitest.it(
    'accepts an at-most-once call without a natural key, for which callers send a header',
    () => {
      const text = replaceInSample('natural_key = ["account", "document.number"]\n', '');
      vitest.expect(findingsOf(text)).toEqual([]);
    },
  );

  vitest.it('returns a declaration or findings for any text', () => {
    const lines = sample.SAMPLE_TOML.split('\n');
    const edit = fc.tuple(fc.nat(lines.length - 1), fc.constantFrom('', 'x = []', '[zones]', 'a'));
    fc.assert(
      fc.property(fc.array(edit, { maxLength: 4 }), (edits) => {
        const copy = [...lines];
        edits.forEach(([at, line]) => {
          copy[at] = line;
        });
        // findingsOf throws if parsing fails with anything but a FindingsError.
        findingsOf(copy.join('\n')).forEach((line) => vitest.expect(line).toContain('; write '));
      }),
      { seed: 7, numRuns: 300 },
    );
  });
});

vitest.describe('diffDeclarations', () => {
  const before = declaration.parseDeclaration(FILE, sample.SAMPLE_TOML);

  vitest.it('returns no changes when only the base version differs', () => {
    vitest.expect(diff.diffDeclarations(before, { ...before, version: 9 })).toEqual([]);
  });

  vitest.it('reports changes by path and hides hashes', () => {
    const text = replaceInSample('deadline_ms = 500', 'deadline_ms = 400')
      .replace('hash = "abcd"', 'hash = "abce"')
      .replaceAll('"encoder-1"', '"encoder-2"');
    const lines = diff.diffDeclarations(before, declaration.parseDeclaration(FILE, text));
    vitest.expect(lines).toContain('~ kinds.lookup.deadline_ms: 500 -> 400');
    vitest.expect(lines).toContain('~ workspaces.acme.keys.acme-1.hash: (hidden) -> (hidden)');
    vitest
      .expect(lines)
      .toContain('+ pools.encoders.endpoints.encoder-2.address: "127.0.0.1:9001"');
    vitest.expect(lines.filter((line) => line.startsWith('- '))).toHaveLength(5);
  });

  vitest.it('reports a changed order of stages', () => {
    const stages = [...(before.pipelines[0]?.stages ?? [])].reverse();
    const after = { ...before, pipelines: [{ ...before.pipelines[0]!, stages }] };
    vitest.expect(diff.diffDeclarations(before, after)[0]).toContain('stages order');
  });
});
