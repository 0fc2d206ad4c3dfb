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

const addresses = new Map<string, string>();

/** The IP address of a host. */
function addressOf(host: string): string {
  const address = addresses.get(host) ?? `10.0.0.${addresses.size + 1}`;
  addresses.set(host, address);
  return address;
}

function recordOf(host: string, version = 1): TargetRecord {
  const address = addressOf(host);
  return { ...targetRecord, targetId: `i-${host}`, address, incarnation: 'run', version };
}

/** Parts of a daemon. */
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
        const response = await methods.get(`${to.address} ${method}`)?.(params);
        // Messages between daemons are JSON.
        return Ok(JSON.parse(JSON.stringify(response)) as T) as Result<T, Failure>;
      },
      close: async () => undefined,
    },
    methods: {
      register: (method, handler) => methods.set(`${addressOf(host)} ${method}`, handler),
    },
    directory,
    routing,
    ownKey: host,
    dataCentre: 'hobart',
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

test('a daemon without the store gets configuration and targets from a peer and becomes known to it', async () => {
  const isolated = createDaemon('isolated');
  const connected = createDaemon('connected');
  connected.routing.applyIfNewer(configuration, 'store');
  connected.directory.update('connected', recordOf('connected'));
  connected.directory.update('third', recordOf('third'));
  await isolated.exchange.exchangeWith(addressOf('connected'), 2);
  assert.equal(isolated.routing.version(), 9);
  assert.deepEqual(
    isolated.directory
      .targetsOf('books')
      .map(({ key }) => key)
      .sort(),
    ['connected', 'third'],
  );
  assert.ok(connected.directory.targetsOf('books').some(({ key }) => key === 'isolated'));
});

test('daemons that know the same records exchange none, and a difference sends a small part', async () => {
  const sizes: number[] = [];
  const requester = createDaemon('requester');
  const responder = createDaemon('responder');
  for (let index = 0; index < 400; index++) {
    requester.directory.update(`host-${index}`, recordOf(`host-${index}`));
    responder.directory.update(`host-${index}`, recordOf(`host-${index}`));
  }
  const respond = methods.get(`${addressOf('responder')} fleet.exchange`) as PeerMethod;
  methods.set(`${addressOf('responder')} fleet.exchange`, async (params) => {
    const response = (await respond(params)) as { records: unknown[] };
    sizes.push(response.records.length);
    return response;
  });
  await requester.exchange.exchangeWith(addressOf('responder'), 2);
  responder.directory.update('host-7', recordOf('host-7', 2));
  await requester.exchange.exchangeWith(addressOf('responder'), 2);
  assert.equal(sizes[0], 0);
  assert.ok((sizes[1] as number) > 0 && (sizes[1] as number) < 40, `${sizes[1]} records`);
  assert.equal(requester.directory.get('host-7')?.record.version, 2);
});

test('a request for a configuration only carries no records', async () => {
  const requester = createDaemon('requester');
  const responder = createDaemon('responder');
  responder.routing.applyIfNewer(configuration, 'store');
  responder.directory.update('third', recordOf('third'));
  await requester.exchange.requestConfiguration(addressOf('responder'), 2);
  assert.equal(requester.routing.version(), 9);
  assert.equal(requester.directory.get('third'), undefined);
});

test('a record from a peer expires unless it is received again, and never replaces a newer one', async () => {
  const { directory } = createDaemon('host');
  directory.setStoreReachable(true);
  directory.update('fromStore', recordOf('fromStore', 5));
  directory.updateFromPeer('fromStore', recordOf('fromStore', 4));
  assert.equal(directory.targetsOf('books')[0]?.record.version, 5);
  assert.equal(directory.targetsOf('books')[0]?.expiredAt, undefined);
  directory.updateFromPeer('fromPeer', recordOf('fromPeer'));
  await clock.advance(2000);
  directory.updateFromPeer('fromPeer', recordOf('fromPeer'));
  await clock.advance(2000);
  assert.equal(directory.targetsOf('books').length, 2);
  await clock.advance(1000);
  assert.deepEqual(
    directory.targetsOf('books').map(({ key }) => key),
    ['fromStore'],
  );
});
