import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { parseAnswers } from '../configuration/answers.js';
import { differenceOf } from '../configuration/difference.js';
import { explainCall } from '../configuration/explain.js';
import { generateConfiguration } from '../configuration/generate.js';
import { ResultCode } from '../runtime/resultCode.js';

const head = `version: 1
weighsMore: goodput
dataCentres: [hobart]
services:
  a: { upstreams: 2, slots: 10, connections: 20 }
calls:
`;

/** Invalid `calls` sections, with the position and the text that the error must contain. */
const wrong: [calls: string, position: string, words: RegExp][] = [
  ['  a.one: { importance: low, mayRepeat: true }', '7: calls.a.one:', /patienceMs/],
  ['  a.one: { importance: top, mayRepeat: true }', '7: calls.a.one.importance:', /critical, high/],
  ['  a.one: { importance: low, mayRepeat: yes }', '7: calls.a.one.mayRepeat:', /true or false/],
  [
    '  a.one: { importance: low, mayRepeat: true, patience: 5 }',
    '7: calls.a.one.patience:',
    /patienceMs/,
  ],
  ['  one: { importance: low, mayRepeat: true, patienceMs: 5 }', '7: calls.one:', /service\.call/],
  ['  b.one: { importance: low, mayRepeat: true, patienceMs: 5 }', '7: calls.b.one:', /service b/],
  [
    '  a.one: { importance: low, mayRepeat: true, patienceMs: 5, calls: [a.x] }',
    '7: calls.a.one.calls.0:',
    /a\.x/,
  ],
  [
    `  a.one: { importance: low, mayRepeat: true, patienceMs: 5, calls: [a.two, a.two] }
  a.two: { importance: low, mayRepeat: true }`,
    '7: calls.a.one.calls.1:',
    /twice/,
  ],
  [
    `  a.one: { importance: low, mayRepeat: true, patienceMs: 5, calls: [a.two] }
  a.two: { importance: low, mayRepeat: true, calls: [a.one] }`,
    '7: calls.a.one.calls:',
    /a\.one → a\.two → a\.one/,
  ],
  [
    `  a.one: { importance: low, mayRepeat: true, patienceMs: 5, calls: [a.two] }
  a.two: { importance: low, mayRepeat: true, patienceMs: 6 }`,
    '8: calls.a.two.patienceMs:',
    /waits only 5 ms/,
  ],
  [
    `  a.one: { importance: low, mayRepeat: true, patienceMs: 5, calls: [a.two] }
  a.two: { importance: low, mayRepeat: false }`,
    '8: calls.a.two.mayRepeat:',
    /keyed: true/,
  ],
  [
    `  a.one: { importance: low, mayRepeat: true, patienceMs: 5 }
  a.one: { importance: low, mayRepeat: true, patienceMs: 5 }`,
    '8: not YAML:',
    /unique/,
  ],
  ['  a.one: [', '8: not YAML:', /./],
  ['  - a.one', '6: calls:', /mapping of calls/],
];

test('invalid answers fail with answersInvalid and name file, line, path and remedy', () => {
  wrong.forEach(([calls, position, words]) => {
    const failure = parseAnswers({ file: 'a.yaml', text: `${head}${calls}\n` }).unwrapErr();
    assert.equal(failure.code, ResultCode.answersInvalid);
    assert.ok(
      failure.message.startsWith(`a.yaml:${position}`),
      `${failure.message}\nnot at ${position}`,
    );
    assert.match(failure.message, words);
  });
});

test('a non-repeatable call is allowed below repeatable ones only if all of them are keyed', () => {
  const calls = `  a.one: { importance: low, mayRepeat: true, keyed: true, patienceMs: 5, calls: [a.two] }
  a.two: { importance: low, mayRepeat: true, KEYED calls: [a.three] }
  a.three: { importance: low, mayRepeat: false }
`;
  const read = (keyed: string) =>
    parseAnswers({ file: 'a.yaml', text: head + calls.replace('KEYED', keyed) });
  assert.ok(read('keyed: true,').isOk());
  assert.ok(read('').isErr());
});

/** Graphs of calls a.c0, a.c1, …, where each calls only later ones, so that there is no cycle. */
const callGraphs = fc
  .array(fc.array(fc.nat(6), { maxLength: 3 }), { minLength: 1, maxLength: 7 })
  .map((steps) =>
    steps.map((jumps, index) =>
      [...new Set(jumps.map((jump) => index + 1 + jump))].filter((child) => child < steps.length),
    ),
  );

test('no child call has a longer deadline than its parent, in any order of the answers', () => {
  fc.assert(
    fc.property(callGraphs, (graph) => {
      const lines = graph.map((children, index) => {
        const isRoot = !graph.some((others) => others.includes(index));
        const patience = isRoot ? `patienceMs: ${900 - 100 * index}, ` : '';
        const names = children.map((child) => `a.c${child}`).join(', ');
        return `  a.c${index}: { importance: low, mayRepeat: true, ${patience}calls: [${names}] }`;
      });
      const read = (text: string[]) =>
        generateConfiguration(
          parseAnswers({ file: 'a.yaml', text: head + text.join('\n') }).unwrap(),
        );
      const configuration = read(lines);
      assert.equal(JSON.stringify(read([...lines].reverse())), JSON.stringify(configuration));
      assert.deepEqual(differenceOf(configuration, read(lines)), []);
      Object.values(configuration.calls).forEach((call) => {
        call.children.forEach((child) => {
          assert.ok((configuration.calls[child]?.deadlineMs ?? Infinity) <= call.deadlineMs);
        });
        const explained = explainCall(configuration, call.name);
        assert.equal(explained?.mostAttempts, 2 * (explained?.treeSize ?? 0));
      });
    }),
    { seed: 5, numRuns: 200 },
  );
});
