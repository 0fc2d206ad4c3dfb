import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { chooseTargetSubset, defaultSubsetSize } from '@shallotcroft/core';
import type { Member } from '@shallotcroft/core';
import { memberNamed } from '../fleet.js';

const { near, far } = defaultSubsetSize;

function targetsIn(counts: number[]): Member[] {
  return counts.flatMap((count, dataCentre) =>
    Array.from({ length: count }, (_, index) =>
      memberNamed(`${dataCentre}-${index}`, `10.${dataCentre}.0.${index}`, `dc-${dataCentre}`),
    ),
  );
}

const fleets = fc.array(fc.nat(12), { minLength: 1, maxLength: 14 }).map(targetsIn);

test('a subset is bounded, contains no target twice, and prefers the data centre of the caller', () => {
  fc.assert(
    fc.property(fleets, fc.string(), (targets, host) => {
      const subset = chooseTargetSubset({ host, dataCentre: 'dc-0' }, targets);
      const local = targets.filter((target) => target.dataCentre === 'dc-0').length;
      const taken = subset.filter((target) => target.dataCentre === 'dc-0').length;
      assert.equal(new Set(subset).size, subset.length);
      assert.equal(taken, Math.min(near, local));
      assert.equal(subset.length, Math.min(near + far - taken, targets.length - local) + taken);
    }),
    { seed: 11, numRuns: 300 },
  );
});

test('whichever data centre is lost, a service with targets elsewhere stays reachable', () => {
  fc.assert(
    fc.property(fleets, fc.string(), fc.nat(13), (targets, host, lost) => {
      const subset = chooseTargetSubset({ host, dataCentre: 'dc-0' }, targets);
      const isLeft = (target: Member): boolean => target.dataCentre !== `dc-${lost}`;
      assert.equal(subset.some(isLeft), targets.some(isLeft));
    }),
    { seed: 13, numRuns: 300 },
  );
});

test('with the own data centre and any other lost, a service with targets elsewhere stays reachable', () => {
  fc.assert(
    fc.property(fleets, fc.string(), fc.nat(13), (targets, host, lost) => {
      const subset = chooseTargetSubset({ host, dataCentre: 'dc-0' }, targets);
      const isLeft = ({ dataCentre }: Member): boolean =>
        dataCentre !== 'dc-0' && dataCentre !== `dc-${lost}`;
      assert.equal(subset.some(isLeft), targets.some(isLeft));
    }),
    { seed: 19, numRuns: 300 },
  );
});

test('removing a target changes only the subsets that contain it', () => {
  fc.assert(
    fc.property(fleets, fc.string(), fc.nat(), (targets, host, pick) => {
      fc.pre(targets.length > 0);
      const removed = targets[pick % targets.length] as Member;
      const caller = { host, dataCentre: 'dc-0' };
      const before = chooseTargetSubset(caller, targets);
      const after = chooseTargetSubset(
        caller,
        targets.filter((target) => target !== removed),
      );
      const added = after.filter((target) => !before.includes(target));
      assert.ok(added.length <= (before.includes(removed) ? 2 : 0));
      if (!before.includes(removed)) assert.deepEqual(after, before);
    }),
    { seed: 17, numRuns: 300 },
  );
});
