import assert from 'node:assert/strict';
import { once } from 'node:events';
import { describe, test } from 'node:test';
import { Worker } from 'node:worker_threads';
import type { Exploration } from '../explorer.js';
import { brokenProtocolCases, correctCases, randomWalkCases } from './protocolCases.js';

async function exploreCase(name: string): Promise<Exploration> {
  const worker = new Worker(new URL('exploreWorker.js', import.meta.url), { workerData: name });
  const [exploration] = (await once(worker, 'message')) as [Exploration];
  return exploration;
}

describe('home, deputy and store', { concurrency: 3 }, () => {
  Object.entries(correctCases).forEach(([name, { limits }]) => {
    test(`every order of events, ${limits.depth} steps deep: ${name}`, async (context) => {
      const { states, exhausted, violation } = await exploreCase(name);
      context.diagnostic(`${states} states`);
      assert.equal(violation, undefined);
      assert.ok(exhausted);
    });
  });

  Object.keys(randomWalkCases).forEach((name) => {
    test(`long random orders of events: ${name}`, async (context) => {
      const { states, violation } = await exploreCase(name);
      context.diagnostic(`${states} states`);
      assert.equal(violation, undefined);
    });
  });

  Object.keys(brokenProtocolCases).forEach((name) => {
    test(`exploration finds a violation when ${name}`, async (context) => {
      const { states, violation } = await exploreCase(name);
      context.diagnostic(`${states} states: ${violation?.text}: ${violation?.trace.join('; ')}`);
      assert.ok(violation);
    });
  });
});
