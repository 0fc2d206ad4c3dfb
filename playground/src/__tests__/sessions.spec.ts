import { test } from 'node:test';
import type { LinkFault } from '../callNetwork.js';
import type { CallerResponse } from '../invariants.js';
import { checkSession } from '../session.js';
import { addHosts, daemonsOf, sessionDeployments, targetsOf } from '../sessionDeployments.js';
import type { SessionDeployment } from '../sessionDeployments.js';
import type { SessionWorld } from '../sessionWorld.js';

type Script = (world: SessionWorld, deployment: SessionDeployment) => Promise<void>;

const PAUSE_MS = 5000;
const RETRY_BUDGET_MS = 30_000;
const OVERLOAD_ROUNDS = 40;
const OVERLOAD_STEP_MS = 50;
const CALLERS = 24;
const IMPORTANT_CALLERS = 2;

function setFaults(world: SessionWorld, ends: string[], fault: LinkFault, times = Infinity): void {
  ends.forEach((end) => world.network.setFault('*', end, fault, times));
}

/** Makes the critical call and waits for its end. */
async function callCritical(world: SessionWorld, deployment: SessionDeployment, root: string) {
  const via = `${deployment.chain[0]}-0`;
  const response = world.call({ root, call: deployment.critical, via });
  await world.run(PAUSE_MS);
  await response;
}

const scripts: Record<string, Script> = {
  // Guards against retry amplification: targets and daemons retry at every level of the call tree.
  'attempts end to end are bounded': async (world, deployment) => {
    const lastDaemons = daemonsOf(deployment.chain[2]);
    addHosts(world, deployment, { ownRetries: 20 });
    setFaults(world, lastDaemons, 'answerLost');
    await callCritical(world, deployment, 'every-response-lost');
    setFaults(world, lastDaemons, 'cut');
    await callCritical(world, deployment, 'no-daemon-reachable');
    world.network.clearFaults();
    setFaults(world, lastDaemons, 'answerLost', 1);
    await callCritical(world, deployment, 'first-responses-lost');
  },

  // Guards against a "not run" code for a call that a target may have executed.
  'not run is told only of what was not run': async (world, deployment) => {
    const [top, middle, last] = deployment.chain;
    addHosts(world, deployment, { relaysFailures: true });
    setFaults(world, daemonsOf(top), 'cut');
    await callCritical(world, deployment, 'first-daemon-cut');
    world.network.clearFaults();
    world.network.setFault(`${top}-0`, `${top}-0:1`, 'cut');
    world.network.setFault(`${top}-0`, `${top}-1:1`, 'cut');
    await callCritical(world, deployment, 'hops-cut');
    world.network.clearFaults();
    setFaults(world, targetsOf(top), 'cut');
    await callCritical(world, deployment, 'targets-cut');
    world.network.clearFaults();
    setFaults(world, daemonsOf(last), 'cut');
    await callCritical(world, deployment, 'target-relays-not-run-of-child-call');
    world.network.clearFaults();
    world.network.setFault(`${top}-0`, `${top}-0:1`, 'answerLost');
    world.network.setFault(`${top}-0`, `${top}-1:1`, 'answerLost');
    await callCritical(world, deployment, 'outcome-unknown');
    world.network.clearFaults();
    // Long enough for the retry budget to refill.
    await world.run(RETRY_BUDGET_MS);
    const setHopFaults = (fault: LinkFault) =>
      daemonsOf(top).forEach((end) => world.network.setFault(`${top}-0`, end, fault));
    setHopFaults('answerLost');
    const unknownOutcome = callCritical(world, deployment, 'response-lost-then-connection-refused');
    await world.run(10);
    setHopFaults('cut');
    await unknownOutcome;
    world.network.clearFaults();
    world.changeBehaviour(top, { refuses: true });
    await callCritical(world, deployment, 'target-refuses');
    world.changeBehaviour(top, { refuses: false, overloaded: true });
    await callCritical(world, deployment, 'target-overloaded-after-it-began');
    world.changeBehaviour(top, { overloaded: false });
    world.drain(middle);
    await callCritical(world, deployment, 'middle-drains');
    world.drain(top);
    await callCritical(world, deployment, 'top-drains');
  },

  // Guards against passing on truncated responses or responses to other requests.
  'a caller gets its own whole answer or an error': async (world, deployment) => {
    addHosts(world, deployment, { concurrent: true });
    for (const fault of ['truncated', 'foreign', 'answerLost'] as const) {
      for (const service of deployment.chain) {
        setFaults(world, [...daemonsOf(service), ...targetsOf(service)], fault, 1);
        const root = `${fault}-at-${service}`;
        const other = world.call({
          root: `${root}-other`,
          call: deployment.low,
          via: `${deployment.chain[0]}-1`,
        });
        await callCritical(world, deployment, root);
        await other;
        world.network.clearFaults();
      }
    }
  },

  // Guards against work without a caller: downstream calls are cancelled when it disconnects, except
  // those of at-most-once calls.
  'a caller that has gone cancels the work below': async (world, deployment) => {
    addHosts(world, deployment, { workMs: 100 });
    const via = `${deployment.chain[0]}-0`;
    for (const cancelsAfterMs of [50, 150, 250]) {
      const root = `cancels-after-${cancelsAfterMs}`;
      const response = world.call({
        root,
        call: deployment.low,
        via,
        cancelsAfterMs,
      });
      await world.run(PAUSE_MS);
      await response;
      const criticalRoot = `critical-${root}`;
      const criticalResponse = world.call({
        root: criticalRoot,
        call: deployment.critical,
        via,
        cancelsAfterMs,
      });
      await world.run(PAUSE_MS);
      await criticalResponse;
    }
  },

  // Guards against a second execution when a caller disconnects and retries with the same key.
  'a retry with the same key gets the answer of the first': async (world, deployment) => {
    addHosts(world, deployment, { workMs: 100 });
    const via = `${deployment.chain[0]}-0`;
    const call = { call: deployment.critical, via };
    const first = world.call({ ...call, root: 'first', cancelsAfterMs: 150 });
    await world.run(200);
    const joins = world.call({ ...call, root: 'joins', keyOf: 'first' });
    await world.run(PAUSE_MS);
    const late = world.call({ ...call, root: 'late', keyOf: 'first' });
    await world.run(PAUSE_MS);
    await Promise.all([first, joins, late]);
  },

  // Guards against child calls that continue after the deadline of their parent.
  'a child never outlives its parent': async (world, deployment) => {
    const [top, middle, last] = deployment.chain;
    addHosts(world, deployment);
    world.changeBehaviour(last, { workMs: 500 });
    for (const patienceMs of [0, 3, 6, 12, 100, 600]) {
      const call = { call: deployment.low, via: `${top}-0`, patienceMs };
      const response = world.call({ ...call, root: `patience-${patienceMs}` });
      await world.run(PAUSE_MS);
      await response;
    }
    world.changeBehaviour(middle, { workMs: 4000 });
    const slow = world.call({ call: deployment.low, via: `${top}-0`, root: 'slow-middle' });
    await world.run(PAUSE_MS);
    await slow;
  },

  // Guards against reusing connections that stopped carrying data without being closed.
  'connections that are silent for good are replaced': async (world, deployment) => {
    const daemons = deployment.chain.flatMap(daemonsOf);
    const targets = deployment.chain.flatMap(targetsOf);
    addHosts(world, deployment, { ownRetries: 1 });
    const via = `${deployment.chain[0]}-0`;
    const callBoth = async (root: string) => {
      const low = world.call({ root: `${root}-low`, call: deployment.low, via });
      await callCritical(world, deployment, root);
      await low;
    };
    const stall = async (link: string, from: string[], ends: string[]) => {
      for (let round = 0; round < 3; round++) await callBoth(`before-${link}-${round}`);
      from.forEach((end) => world.network.stallConnections(end, ends));
      world.log(`connections of ${link} are unresponsive`);
      await callBoth(link);
      await callBoth(`after-${link}`);
    };
    const hosts = [...world.hosts.keys()];
    await stall('callers-to-daemons', ['caller'], daemons);
    await stall('daemons-to-daemons', hosts, daemons);
    await stall(
      'targets-to-daemons',
      hosts.map((host) => `${host}-target`),
      daemons,
    );
    await stall('daemons-to-targets', hosts, targets);
  },

  // Guards against shedding critical calls before low ones under overload.
  'important calls are shed last': async (world, deployment) => {
    addHosts(world, deployment, { workMs: 50 });
    world.omitCalls();
    const calls: Promise<CallerResponse>[] = [];
    for (let round = 0; round < OVERLOAD_ROUNDS; round++) {
      for (let caller = 0; caller < CALLERS; caller++) {
        const isImportant = caller < IMPORTANT_CALLERS;
        calls.push(
          world.call({
            root: `round-${round}-caller-${caller}`,
            call: isImportant ? deployment.critical : deployment.low,
            via: `${deployment.chain[0]}-${caller % 2}`,
            caller: `caller-${caller}`,
          }),
        );
      }
      await world.run(OVERLOAD_STEP_MS);
    }
    await world.run(PAUSE_MS);
    const responses = await Promise.all(calls);
    [deployment.critical, deployment.low].forEach((name) => {
      const counts = new Map<number, number>();
      responses
        .filter(({ call }) => call === name)
        .forEach(({ code }) => counts.set(code, (counts.get(code) ?? 0) + 1));
      const results = [...counts].sort(([first], [second]) => first - second);
      const text = results.map(([code, count]) => `${count} with code ${code}`).join(', ');
      world.log(`${name}: ${text}`);
    });
  },

  // Guards against waiting until the deadline on an unresponsive connection, and against treating
  // its peer as failed.
  'a silent connection is noticed and is not a dead peer': async (world, deployment) => {
    addHosts(world, deployment);
    const via = `${deployment.chain[0]}-0`;
    for (const fault of ['silent', 'answerSilent'] as const) {
      for (const service of deployment.chain) {
        setFaults(world, daemonsOf(service), fault, 1);
        const root = `${fault}-to-${service}`;
        const response = world.call({ root, call: deployment.low, via });
        await world.run(PAUSE_MS);
        await response;
        await callCritical(world, deployment, `${root}-critical`);
        world.network.clearFaults();
      }
    }
    await callCritical(world, deployment, 'after-the-faults');
  },
};

sessionDeployments.forEach((deployment) => {
  Object.entries(scripts).forEach(([property, script]) => {
    test(`${deployment.name}: ${property}`, async () => {
      await checkSession({
        name: `${deployment.name}-${property.replaceAll(' ', '-')}`,
        configuration: deployment.configuration,
        script: (world) => script(world, deployment),
      });
    });
  });
});
