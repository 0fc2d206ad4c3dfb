import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { test } from 'node:test';

const moduleUrl = new URL('../unexpectedErrors.js', import.meta.url).href;

/** Runs a program that has an unhandled error, then reports that it is still running. */
function runProgram(failure: string, isGuarded: boolean) {
  const program = `
    const { keepRunningOnErrors } = await import('${moduleUrl}');
    const logger = { log: (level, message, fields) => console.log(message, fields.kind, fields.error) };
    if (${isGuarded}) keepRunningOnErrors(logger);
    setTimeout(() => { ${failure} }, 1);
    setTimeout(() => console.log('still running'), 50);
  `;
  const run = spawnSync(process.execPath, ['--input-type=module', '-e', program], {
    encoding: 'utf8',
  });
  return { lines: run.stdout.trim().split('\n'), status: run.status };
}

test('an exception that nothing handles is logged, and the process goes on', () => {
  const { lines, status } = runProgram("throw new Error('bad frame');", true);
  assert.deepEqual(lines, ['unexpected error exception bad frame', 'still running']);
  assert.equal(status, 0);
});

test('a rejection that nothing handles is logged, and the process goes on', () => {
  const { lines, status } = runProgram("Promise.reject('no reason');", true);
  assert.deepEqual(lines, ['unexpected error rejection no reason', 'still running']);
  assert.equal(status, 0);
});

test('without it the same error ends the process', () => {
  const { lines, status } = runProgram("throw new Error('bad frame');", false);
  assert.deepEqual(lines, ['']);
  assert.notEqual(status, 0);
});
