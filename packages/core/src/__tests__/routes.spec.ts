import assert from 'node:assert/strict';
import { test } from 'node:test';
import { silentLogger } from '../observability/logger.js';
import { createSeededRandom } from '../runtime/random.js';
import type { Route, RoutingConfiguration } from '../routes/route.js';
import { RouteTable } from '../routes/routeTable.js';
import { RoutingManager } from '../routes/routingManager.js';
import { WeightedSplit } from '../routes/weightedSplit.js';

function route(host: string, pathPrefix: string): Route {
  return {
    name: `${host}${pathPrefix}`,
    host,
    pathPrefix,
    execution: 'repeatable',
    timeoutMs: 1000,
    targetLatencyMs: 100,
    rank: 1,
    shares: [{ service: 'books', weight: 1 }],
    maxAttempts: 2,
  };
}

function configuration(version: number, routes: Route[]): RoutingConfiguration {
  return {
    version,
    routes,
    services: [],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
  };
}

test('the longest path prefix of the host matches; other hosts and paths have no route', () => {
  const table = new RouteTable([
    route('a.example', '/'),
    route('a.example', '/books/'),
    route('a.example', '/books/new/'),
    route('b.example', '/books/'),
  ]);
  assert.equal(table.match('a.example', '/books/new/7')?.pathPrefix, '/books/new/');
  assert.equal(table.match('A.example:8080', '/books/7')?.pathPrefix, '/books/');
  assert.equal(table.match('a.example', '/book')?.pathPrefix, '/');
  assert.equal(table.match('b.example', '/other/'), undefined);
  assert.equal(table.match('c.example', '/books/'), undefined);
});

test('a split gives each share exactly its weight, even over a few requests', () => {
  const split = new WeightedSplit([
    { service: 'old', weight: 90 },
    { service: 'new', weight: 10 },
    { service: 'none', weight: 0 },
  ]);
  const counts = new Map<string, number>();
  for (let step = 0; step < 40; step++) {
    const service = split.next() ?? '';
    counts.set(service, (counts.get(service) ?? 0) + 1);
  }
  assert.deepEqual(Object.fromEntries(counts), { old: 36, new: 4 });
});

test('a split in which all weights are 0 returns no service', () => {
  const split = new WeightedSplit([
    { service: 'a', weight: 0 },
    { service: 'b', weight: 0 },
  ]);
  assert.equal(split.next(), undefined);
});

test('an older configuration never replaces a newer one, from the store or from a peer', () => {
  const manager = new RoutingManager(createSeededRandom(1), silentLogger);
  const appliedVersions: number[] = [];
  manager.onChange(({ version }) => appliedVersions.push(version));
  manager.applyIfNewer(configuration(7, [route('a.example', '/new/')]), 'peer');
  manager.applyIfNewer(configuration(5, [route('a.example', '/old/')]), 'store');
  manager.applyIfNewer(configuration(7, []), 'store');
  assert.equal(manager.version(), 7);
  assert.equal(manager.match('a.example', '/old/1'), undefined);
  assert.equal(manager.match('a.example', '/new/1')?.pathPrefix, '/new/');
  assert.deepEqual(appliedVersions, [7]);
});
