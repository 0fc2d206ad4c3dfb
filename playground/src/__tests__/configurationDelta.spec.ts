import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { applyConfigurationDelta, createConfigurationDelta } from '@shallotcroft/core';
import type { Configuration } from '@shallotcroft/core';
import { configurationOf } from '../fleet.js';

const services = fc.dictionary(
  fc.constantFrom('a', 'b', 'c', 'd'),
  fc.nat(3).map((slots) => ({
    name: 'x',
    slots,
    connections: 1,
    limit: 'fixed' as const,
    shards: 1,
  })),
);

test('a delta turns one revision into exactly the next', () => {
  fc.assert(
    fc.property(services, services, (before, after) => {
      const first: Configuration = { ...configurationOf(1), services: before };
      const second: Configuration = { ...configurationOf(2), services: after };
      const delta = createConfigurationDelta(first, second);
      const applied = applyConfigurationDelta(first, JSON.parse(JSON.stringify(delta)));
      assert.deepEqual({ ...applied }, { ...second, services: { ...after } });
    }),
    { seed: 7, numRuns: 200 },
  );
});

test('a delta for another change with the same revision is rejected', () => {
  const delta = createConfigurationDelta(configurationOf(1), configurationOf(2));
  const other = { ...configurationOf(1), changeId: 'another' };
  assert.equal(applyConfigurationDelta(other, delta), undefined);
});
