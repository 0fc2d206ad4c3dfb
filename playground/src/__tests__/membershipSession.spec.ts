import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Fleet, kill } from '../fleet.js';
import type { FleetDaemon } from '../fleet.js';
import { checkGolden } from '../goldenFile.js';

/** Time in which the updates of a step reach all daemons, in milliseconds. */
const SETTLE_MS = 30_000;

/** A scripted session and its transcript. */
class Session {
  readonly fleet = new Fleet(42);

  readonly lines: string[] = [];

  /** Revisions in force at each daemon, in order. */
  readonly revisions = new Map<string, number[]>();

  constructor() {
    this.fleet.onStart = (daemon) => this.observe(daemon);
  }

  /** Logs a step of the script. */
  logStep(text: string): void {
    this.write(`== ${text}`);
  }

  /** Advances time by `SETTLE_MS` and logs the view of each daemon. */
  async settle(): Promise<void> {
    await this.fleet.clock.advance(SETTLE_MS);
    this.fleet.alive().forEach((daemon) => {
      const revision = daemon.manager.current()?.revision ?? 0;
      this.write(`   ${daemon.name} holds ${Fleet.viewOf(daemon).join(' ')}, revision ${revision}`);
    });
  }

  private observe(daemon: FleetDaemon): void {
    const states = new Map<string, string>();
    const revisions: number[] = [];
    this.revisions.set(daemon.name, revisions);
    daemon.membership.onChange(() => {
      daemon.membership.members().forEach(({ incarnation, version, state }) => {
        const seen = `${state} at version ${version === Number.MAX_SAFE_INTEGER ? 'final' : version}`;
        if (states.get(incarnation) === seen) return;
        states.set(incarnation, seen);
        this.write(`${daemon.name} sees ${incarnation} ${seen}`);
      });
    });
    daemon.manager.onChange(({ revision }) => {
      revisions.push(revision);
      this.write(`${daemon.name} has revision ${revision} in force`);
    });
  }

  private write(text: string): void {
    this.lines.push(`${(this.fleet.clock.now() / 1000).toFixed(1).padStart(7)} ${text}`);
  }
}

async function runSession(): Promise<Session> {
  const session = new Session();
  const { fleet } = session;
  session.logStep('five daemons join in two data centres');
  for (let number = 1; number <= 5; number++) {
    await fleet.join(`10.0.0.${number}`, number % 2 === 0 ? 'hobart' : 'burnie');
  }
  await session.settle();
  session.logStep('revision 1 is accepted');
  await fleet.apply();
  await session.settle();
  session.logStep('run-2 is killed');
  fleet.daemonAt('10.0.0.2').forEach(kill);
  await session.settle();
  session.logStep('the host of run-3 is replaced at the same address');
  await fleet.join('10.0.0.3', 'burnie');
  await session.settle();
  session.logStep('10.0.0.4 and 10.0.0.5 are cut off, and revision 2 is accepted');
  ['10.0.0.4', '10.0.0.5'].forEach((address) => fleet.partitionedAddresses.add(address));
  await fleet.apply();
  await session.settle();
  session.logStep('the cut heals');
  fleet.partitionedAddresses.clear();
  await session.settle();
  session.logStep('the store goes down, and the daemon at 10.0.0.1 restarts');
  fleet.setStoreDown(true);
  await fleet.join('10.0.0.1', 'burnie');
  await session.settle();
  session.logStep('the store returns with revision 3');
  await fleet.apply();
  fleet.setStoreDown(false);
  await session.settle();
  session.logStep('run-4 drains and leaves');
  const [leaver] = fleet.daemonAt('10.0.0.4');
  leaver?.membership.update({ state: 'draining' }).catch(() => undefined);
  await fleet.clock.advance(3000);
  if (leaver) await fleet.leave(leaver);
  await session.settle();
  return session;
}

test('a session of membership and configuration matches its committed transcript', async () => {
  const session = await runSession();
  checkGolden('membership', session.lines);

  // These conditions hold whatever the transcript is updated to.
  session.revisions.forEach((revisions, name) => {
    const rising = revisions.every(
      (one, index) => index === 0 || one > (revisions[index - 1] ?? 0),
    );
    assert.ok(rising, `${name} went back: ${revisions.join(' ')}`);
  });
  assert.ok(session.fleet.hasConverged());
  assert.deepEqual(
    session.fleet.revisions(),
    session.fleet.alive().map(() => 3),
  );
});
