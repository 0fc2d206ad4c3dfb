import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { Fleet, kill, pause, resume } from '../fleet.js';
import type { FleetDaemon } from '../fleet.js';

/** Maximum time until views converge after the faults are cleared, on the manual clock. */
const AGREEMENT_BOUND_MS = 120_000;

/** In force everywhere within this time: the users' bound. */
const IN_FORCE_MS = 6000;

const ADDRESSES = 7;

type Act = 'join' | 'leave' | 'kill' | 'pause' | 'resume' | 'cut' | 'heal' | 'apply' | 'storeDown';

interface Step {
  act: Act | 'storeUp' | 'replay' | 'drain';
  pick: number;
  /** Time before the next step, in milliseconds. */
  pauseMs: number;
}

const steps = fc.array(
  fc.record<Step>({
    act: fc.constantFrom<Step['act']>(
      'join',
      'join',
      'leave',
      'kill',
      'pause',
      'resume',
      'cut',
      'heal',
      'apply',
      'storeDown',
      'storeUp',
      'replay',
      'replay',
      'drain',
    ),
    pick: fc.nat(1000),
    pauseMs: fc.constantFrom(0, 300, 3000, 30_000),
  }),
  { minLength: 8, maxLength: 25 },
);

/**
 * Records a gone incarnation that becomes live again, or a revision that decreases, in the view of
 * a daemon.
 */
function recordViolations(daemon: FleetDaemon, violations: string[]): void {
  const live = new Map<string, number>();
  const goneVersions = new Map<string, number>();
  let revision = 0;
  daemon.membership.onChange(() => {
    const view = daemon.membership.members().filter((member) => member.state !== 'gone');
    const seen = new Map(view.map(({ incarnation, version }) => [incarnation, version]));
    live.forEach((version, incarnation) => {
      if (!seen.has(incarnation)) goneVersions.set(incarnation, version);
    });
    live.clear();
    seen.forEach((version, incarnation) => {
      live.set(incarnation, version);
      if (version <= (goneVersions.get(incarnation) ?? -1)) {
        violations.push(`${daemon.name} revived ${incarnation} at ${version}`);
      }
    });
  });
  daemon.manager.onChange((next) => {
    if (next.revision <= revision) violations.push(`${daemon.name} went back to ${next.revision}`);
    revision = next.revision;
  });
}

function pickOf(daemons: FleetDaemon[], pick: number): FleetDaemon | undefined {
  return daemons[pick % daemons.length];
}

async function runStep(fleet: Fleet, { act, pick }: Step): Promise<void> {
  const up = fleet.alive().filter((daemon) => daemon.state === 'up');
  const daemon = pickOf(up, pick);
  const paused = pickOf(
    fleet.alive().filter((one) => one.state === 'paused'),
    pick,
  );
  const address = `10.0.0.${1 + (pick % ADDRESSES)}`;
  if (act === 'join') await fleet.join(address);
  if (act === 'apply') await fleet.apply();
  if (act === 'storeDown') fleet.setStoreDown(true);
  if (act === 'storeUp') fleet.setStoreDown(false);
  if (act === 'cut') fleet.partitionedAddresses.add(address);
  if (act === 'heal') fleet.partitionedAddresses.clear();
  if (act === 'resume' && paused) resume(paused);
  if (!daemon) return;
  if (act === 'replay') await fleet.replay(pick, daemon);
  // At least one daemon stays up, or no daemon would hold the revision.
  if (up.length < 2) return;
  if (act === 'leave') await fleet.leave(daemon);
  if (act === 'kill') kill(daemon);
  if (act === 'pause') pause(daemon);
  if (act === 'drain') daemon.membership.update({ state: 'draining' }).catch(() => undefined);
}

async function clearFaults(fleet: Fleet): Promise<void> {
  fleet.partitionedAddresses.clear();
  fleet.setStoreDown(false);
  fleet
    .alive()
    .filter((daemon) => daemon.state === 'paused')
    .forEach(resume);
  await fleet.join('10.0.0.1');
}

async function runOrder(seed: number, order: Step[]): Promise<void> {
  const fleet = new Fleet(seed);
  const violations: string[] = [];
  fleet.onStart = (daemon) => recordViolations(daemon, violations);
  for (let number = 1; number <= 4; number++) await fleet.join(`10.0.0.${number}`);
  for (const step of order) {
    await runStep(fleet, step);
    await fleet.clock.advance(step.pauseMs);
  }
  await clearFaults(fleet);
  const agreed = await fleet.timeToConverge(AGREEMENT_BOUND_MS);
  const views = fleet.alive().map((daemon) => `${daemon.name}: ${Fleet.viewOf(daemon).join(' ')}`);
  assert.notEqual(agreed, undefined, `${fleet.liveNames().join(' ')} but ${views.join('; ')}`);
  await fleet.clock.advance(AGREEMENT_BOUND_MS);
  assert.ok(fleet.hasConverged(), 'views agreed and then differed again');
  const revision = await fleet.apply();
  await fleet.clock.advance(IN_FORCE_MS);
  assert.deepEqual(
    fleet.revisions(),
    fleet.alive().map(() => revision),
  );
  assert.deepEqual(violations, []);
}

test('in any order of faults, no gone incarnation is revived, no revision decreases, and all views converge', async () => {
  await fc.assert(
    fc.asyncProperty(fc.nat(1000), steps, (seed, order) => runOrder(seed, order)),
    { seed: 20, numRuns: 60 },
  );
});
