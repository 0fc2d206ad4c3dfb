import { ControlMethod, Ok, ResultCode } from '@shallotcroft/core';
import type { DaemonStatus, Member } from '@shallotcroft/core';
import { mapConcurrently } from './mapConcurrently.js';
import { daemonAddress } from './commandContext.js';
import type { CommandContext, CommandFlags, CommandResult } from './commandContext.js';
import { printJson, printTable } from './output.js';

/** Daemons queried at a time. */
const QUERY_CONCURRENCY = 128;
const QUERY_TIMEOUT_MS = 2000;
/** Daemons listed without `--all`; of the rest only the number is printed. */
const MAX_LISTED_DAEMONS = 20;

/** Flags of `status`. */
export interface StatusFlags extends CommandFlags {
  /** Lists every daemon. */
  all?: boolean;
}

/** State of a daemon's configuration, compared with the highest revision at any daemon. */
type ConfigurationState = 'inForce' | 'lags' | 'noAnswer';

interface DaemonReport {
  member: Member;
  standing: ConfigurationState;
  status: DaemonStatus | undefined;
}

async function queryStatus(
  context: CommandContext,
  member: Member,
): Promise<DaemonStatus | undefined> {
  const to = { address: member.address, port: member.peerPort };
  const response = await context.peers.call<DaemonStatus>(
    to,
    ControlMethod.status,
    {},
    QUERY_TIMEOUT_MS,
  );
  // Another incarnation at this address is not the member that was queried.
  if (response.isErr() || response.value.self.incarnation !== member.incarnation) return undefined;
  return response.value;
}

function configurationStateOf(
  status: DaemonStatus | undefined,
  highest: number,
): ConfigurationState {
  if (!status) return 'noAnswer';
  return status.revision === highest ? 'inForce' : 'lags';
}

function summaryRows(reports: DaemonReport[]): string[][] {
  const names = [...new Set(reports.map(({ member }) => member.dataCentre))].sort();
  return names.map((dataCentre) => {
    const here = reports.filter(({ member }) => member.dataCentre === dataCentre);
    const count = (standing: ConfigurationState) =>
      here.filter((one) => one.standing === standing).length;
    const counts = [here.length, count('inForce'), count('lags'), count('noAnswer')];
    return [dataCentre, ...counts.map(String)];
  });
}

function daemonRow({ member, standing, status }: DaemonReport): string[] {
  const load = status ? `${status.load.inFlight}/${Math.round(status.load.limit)}` : '-';
  const waiting = status ? String(status.load.waiting) : '-';
  const revision = status ? String(status.revision) : '-';
  const stateLabels = { inForce: 'in force', lags: 'lags', noAnswer: 'does not answer' };
  return [
    member.host,
    member.dataCentre,
    member.service || '-',
    member.state,
    revision,
    load,
    waiting,
    stateLabels[standing],
  ];
}

function storeSummary(reports: DaemonReport[]): string {
  const reachability = reports.flatMap(({ status }) => status?.storeReachable ?? []);
  if (reachability.length === 0) return 'no daemon queries the store';
  const reachableCount = reachability.filter((isReached) => isReached).length;
  return `the store is reachable from ${reachableCount} of ${reachability.length} daemons that query it`;
}

/**
 * Runs `status`: queries every member and prints where the newest revision is in force, and which
 * daemons lag or do not answer.
 */
export async function runStatus(context: CommandContext, flags: StatusFlags): CommandResult {
  const address = daemonAddress(context, flags);
  if (address.isErr()) return address;
  const members = await context.peers.call<Member[]>(
    address.value,
    ControlMethod.members,
    {},
    QUERY_TIMEOUT_MS,
  );
  if (members.isErr()) return members;
  const present = members.value
    .filter((member) => member.state !== 'gone')
    .sort((one, other) => one.host.localeCompare(other.host));
  const statuses = await mapConcurrently(present, QUERY_CONCURRENCY, (member) =>
    queryStatus(context, member),
  );
  const highest = Math.max(0, ...statuses.map((status) => status?.revision ?? 0));
  const reports = present.map((member, index): DaemonReport => {
    const status = statuses[index];
    return { member, status, standing: configurationStateOf(status, highest) };
  });
  const { output } = context;
  if (flags.json) {
    printJson(output, { revision: highest, daemons: reports });
    return Ok(ResultCode.ok);
  }
  output.print(`revision ${highest}; ${storeSummary(reports)}`);
  printTable(
    output,
    ['DATA CENTRE', 'DAEMONS', 'IN FORCE', 'LAG', 'NO ANSWER'],
    summaryRows(reports),
  );
  const listed = flags.all ? reports : reports.filter(({ standing }) => standing !== 'inForce');
  const shown = flags.all ? listed : listed.slice(0, MAX_LISTED_DAEMONS);
  if (shown.length === 0) return Ok(ResultCode.ok);
  output.print('');
  printTable(
    output,
    ['HOST', 'DATA CENTRE', 'SERVICE', 'STATE', 'REVISION', 'CALLS', 'WAITING', 'CONFIGURATION'],
    shown.map(daemonRow),
  );
  if (shown.length < listed.length) output.print(`and ${listed.length - shown.length} more: --all`);
  return Ok(ResultCode.ok);
}
