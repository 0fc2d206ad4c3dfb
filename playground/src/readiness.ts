import { ControlMethod, systemClock } from '@shallotcroft/core';
import type { DaemonStatus, Member, PeerCaller } from '@shallotcroft/core';
import type { Deployment } from './deployment.js';

const POLL_MS = 100;
const STATUS_TIMEOUT_MS = 1000;

/** Whether `revision` is in force at a daemon and it sees every host as serving. */
async function isReady(
  deployment: Deployment,
  peers: PeerCaller,
  index: number,
  revision: number,
): Promise<boolean> {
  const { peer } = deployment.hosts[index] as Deployment['hosts'][number];
  const status = await peers.call<DaemonStatus>(
    peer,
    ControlMethod.status,
    null,
    STATUS_TIMEOUT_MS,
  );
  if (status.isErr() || status.value.revision < revision) return false;
  const members = await peers.call<Member[]>(peer, ControlMethod.members, null, STATUS_TIMEOUT_MS);
  if (members.isErr()) return false;
  return (
    members.value.filter((member) => member.state === 'serving').length >= deployment.hosts.length
  );
}

/** Waits until every daemon has `revision` in force and sees all hosts as serving. */
export async function waitUntilReady(
  deployment: Deployment,
  peers: PeerCaller,
  revision: number,
): Promise<void> {
  for (let index = 0; index < deployment.hosts.length; index++) {
    while (!(await isReady(deployment, peers, index, revision))) await systemClock.sleep(POLL_MS);
  }
}
