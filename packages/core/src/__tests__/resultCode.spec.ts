import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ResultCode, isNotRun, isOutcomeUnknown, resultNameOf } from '../runtime/resultCode.js';

test('every result code has a unique number', () => {
  const numbers = Object.values(ResultCode);
  assert.equal(new Set(numbers).size, numbers.length);
});

test('no result code is both "not run" and "outcome unknown"', () => {
  Object.values(ResultCode).forEach((number) => {
    assert.ok(!(isNotRun(number) && isOutcomeUnknown(number)), resultNameOf(number));
  });
});
