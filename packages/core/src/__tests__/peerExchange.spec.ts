import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { PeerExchange } from '../directory/peerExchange.js';
import { TargetDirectory } from '../directory/targetDirectory.js';
import type { TargetRecord } from '../directory/targetRecord.js';
import type { Failure } from '../runtime/failure.js';
import { silentLogger } from '../observability/logger.js';
import { ManualClock } from '../runtime/manualClock.js';
import type { PeerAddress, PeerMethod } from '../peers/peer.js';
import { createSeededRandom } from '../runtime/random.js';
import type { RoutingConfiguration } from '../routes/route.js';
import { RoutingManager } from '../routes/routingManager.js';
import { targetRecord } from './support/targetRecordSample.js';

const clock = new ManualClock();
const methods = new Map<string, PeerMethod>();

function recordOf(host: string, version = 1): TargetRecord {
  return { ...targetRecord, targetId: `i-${host}`, address: host, incarnation: 'run', version };
}

/** A daemon that reaches the others by their host names. */
function createDaemon(host: string) {
  const random = createSeededRandom(1);
  const directory = new TargetDirectory(clock, silentLogger);
  const routing = new RoutingManager(random, silentLogger);
  const exchange = new PeerExchange({
    clock,
    random,
    logger: silentLogger,
    peers: {
      call: async <T>(to: PeerAddress, method: string, params: unknown) => {
        const answer = await methods.get(`${to.address} ${method}`)?.(params);
        // What crosses the network is JSON.
        return Ok(JSON.parse(JSON.stringify(answer)) as T) as Result<T, Failure>;
      },
      close: async () => undefined,
    },
    methods: { register: (method, handler) => methods.set(`${host} ${method}`, handler) },
    directory,
    routing,
    ownKey: host,
    ownRecord: () => recordOf(host),
    isStoreReachable: () => false,
  });
  return { directory, routing, exchange };
}

const configuration: RoutingConfiguration = {
  version: 9,
  routes: [],
  services: [],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

test('a daemon that the store refuses hears of configuration and targets, and is heard of', async () => {
  const cut = createDaemon('cut');
  const sound = createDaemon('sound');
  sound.routing.offer(configuration, 'store');
  sound.directory.learn('sound', recordOf('sound'));
  sound.directory.learn('third', recordOf('third'));
  await cut.exchange.ask('sound', 2);
  assert.equal(cut.routing.version(), 9);
  assert.deepEqual(
    cut.directory
      .of('books')
      .map(({ key }) => key)
      .sort(),
    ['sound', 'third'],
  );
  assert.ok(sound.directory.of('books').some(({ key }) => key === 'cut'));
});

test('what another daemon tells is forgotten unless it is told again; newer records win', async () => {
  const { directory } = createDaemon('host');
  directory.setStoreReachable(true);
  directory.learn('held', recordOf('held', 5));
  directory.learnFromPeer('held', recordOf('held', 4));
  assert.equal(directory.of('books')[0]?.record.version, 5);
  assert.equal(directory.of('books')[0]?.lapsedAt, undefined);
  directory.learnFromPeer('told', recordOf('told'));
  await clock.advance(2000);
  directory.learnFromPeer('told', recordOf('told'));
  await clock.advance(2000);
  assert.equal(directory.of('books').length, 2);
  await clock.advance(1000);
  assert.deepEqual(
    directory.of('books').map(({ key }) => key),
    ['held'],
  );
});
