import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Ok } from 'ts-results-es';
import {
  CallHeader,
  ResultCode,
  chooseTargetSubset,
  createGuard,
  createHistograms,
  createRunningCalls,
  createTargetRegistry,
  encodeHop,
  connectedMembers,
  silentLogger,
} from '@shallotcroft/core';
import type {
  CallResponse,
  CallPolicy,
  CallRequest,
  CallTransport,
  Configuration,
  Guard,
  Member,
  TargetRegistry,
} from '@shallotcroft/core';
import { Fleet, configurationOf, memberNamed } from '../fleet.js';
import type { FleetDaemon } from '../fleet.js';

/** No new work reaches a target that leaves after this time: the users' "few seconds". */
const LEAVING_BOUND_MS = 3000;

const search: CallPolicy = {
  name: 'catalogue.search',
  service: 'catalogue',
  importance: 'normal',
  execution: 'repeatable',
  deadlineMs: 1000,
  attemptTokens: 1,
  maxAnswerBytes: 1000,
  maxBodyBytes: 1000,
  children: [],
};

const page: CallPolicy = { ...search, name: 'web.page', service: 'web', children: [search.name] };

const configuration: Configuration = {
  ...configurationOf(1),
  calls: { [search.name]: search, [page.name]: page },
};

interface GuardedTarget {
  guard: Guard;
  registry: TargetRegistry;
  /** Calls that the target has run. */
  executions: () => number;
}

/** Creates a guard and a registered target for a daemon of the fleet. */
function guardTarget(fleet: Fleet, { membership }: FleetDaemon): GuardedTarget {
  let executions = 0;
  const response: CallResponse = { status: 200, headers: {}, body: Buffer.alloc(0) };
  const transport: CallTransport = {
    send: async () => {
      executions += 1;
      return Ok(response);
    },
    close: async () => undefined,
  };
  const registry = createTargetRegistry({ clock: fleet.clock });
  registry.onChange(() => {
    membership.update({ state: registry.state() }).catch(() => undefined);
  });
  const guard = createGuard({
    clock: fleet.clock,
    transport,
    admission: {
      enter: async () => Ok({ queueTimeMs: 0, release: () => undefined }),
      shedLevel: () => 0,
      load: () => ({ inFlight: 1, waiting: 0, limit: 1 }),
      setRateLimit: () => undefined,
      reconfigure: () => undefined,
      close: () => undefined,
    },
    registry,
    runningCalls: createRunningCalls(),
    histograms: createHistograms(),
    logger: silentLogger,
    configuration: () => configuration,
    downstreamShedLevel: () => 0,
    runAtMostOnce: (_key, execute) => execute({ beginWithinMs: () => Infinity }),
  });
  registry.announce({ service: 'catalogue', address: '127.0.0.1', port: 9000 });
  return { guard, registry, executions: () => executions };
}

function searchRequest(): CallRequest {
  const context = { root: 'r', caller: 'c', importance: 'normal', deadlineAt: 0 } as const;
  const headers = encodeHop({ ...context, key: undefined }, 1, 1000);
  return { call: search.name, headers, body: Buffer.alloc(0) };
}

test('a call from a daemon that missed the draining update is not run', async () => {
  const fleet = new Fleet(9);
  const leaver = await fleet.join('10.0.0.1');
  for (let number = 2; number <= 6; number++) await fleet.join(`10.0.0.${number}`);
  await fleet.clock.advance(5000);
  const target = guardTarget(fleet, leaver);
  const { signal } = new AbortController();
  assert.equal((await target.guard.handle(searchRequest(), signal)).status, 200);

  fleet.partitionedAddresses.add('10.0.0.6');
  target.registry.drain();
  await fleet.clock.advance(LEAVING_BOUND_MS);
  const returnsLeaver = fleet.daemons.map(({ membership }) =>
    membership.targetsOf('catalogue').some((one) => one.incarnation === leaver.name),
  );
  assert.deepEqual(returnsLeaver, [false, false, false, false, false, true]);
  const response = await target.guard.handle(searchRequest(), signal);
  assert.equal(Number(response.headers[CallHeader.code]), ResultCode.notRunDraining);
  assert.equal(target.executions(), 1);
});

test('the members notified directly are exactly the callers whose subset contains the leaving target', () => {
  const named = (name: string, dataCentre: string, service: string): Member => ({
    ...memberNamed(name, `10.1.0.${name}`, dataCentre),
    service,
  });
  const targets = Array.from({ length: 30 }, (_, index) =>
    named(`t${index}`, `dc-${index % 3}`, 'catalogue'),
  );
  const callers = Array.from({ length: 60 }, (_, index) =>
    named(`c${index}`, `dc-${index % 3}`, ['web', '', 'unrelated'][index % 3] as string),
  );
  const directory = {
    targetsOf: () => targets,
    members: () => [...targets, ...callers],
    memberOf: () => undefined,
    onChange: () => () => undefined,
  };
  const leaver = targets[4] as Member;
  const notified = connectedMembers(leaver, directory, configuration);
  const connecting = callers.filter(
    (caller) =>
      caller.service !== 'unrelated' && chooseTargetSubset(caller, targets).includes(leaver),
  );
  assert.ok(connecting.length > 0);
  assert.deepEqual(new Set(notified), new Set(connecting));
});
