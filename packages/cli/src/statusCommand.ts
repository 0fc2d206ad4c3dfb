import { ControlMethod, Ok, ResultCode } from '@shallotcroft/core';
import type { DaemonStatus, Member } from '@shallotcroft/core';
import { boundedMap } from './boundedMap.js';
import { daemonAddress } from './commandContext.js';
import type { CommandContext, CommandFlags, CommandResult } from './commandContext.js';
import { printJson, printTable } from './output.js';

const ASKED_AT_ONCE = 128;
const TIMEOUT_MS = 2000;
/** Daemons that are named one by one; the rest are counted. */
const MOST_NAMED = 20;

/** Flags of `status`. */
export interface StatusFlags extends CommandFlags {
  /** Names every daemon. */
  all?: boolean;
}

/** How a daemon stands to the highest revision in force. */
type Standing = 'inForce' | 'lags' | 'noAnswer';

interface DaemonReport {
  member: Member;
  standing: Standing;
  status: DaemonStatus | undefined;
}

async function askMember(
  context: CommandContext,
  member: Member,
): Promise<DaemonStatus | undefined> {
  const to = { address: member.address, port: member.peerPort };
  const answer = await context.peers.call<DaemonStatus>(to, ControlMethod.status, {}, TIMEOUT_MS);
  // A daemon that was replaced at this address is another one.
  if (answer.isErr() || answer.value.self.incarnation !== member.incarnation) return undefined;
  return answer.value;
}

function standingOf(status: DaemonStatus | undefined, highest: number): Standing {
  if (!status) return 'noAnswer';
  return status.revision === highest ? 'inForce' : 'lags';
}

function summaryRows(reports: DaemonReport[]): string[][] {
  const names = [...new Set(reports.map(({ member }) => member.dataCentre))].sort();
  return names.map((dataCentre) => {
    const here = reports.filter(({ member }) => member.dataCentre === dataCentre);
    const count = (standing: Standing) => here.filter((one) => one.standing === standing).length;
    const counts = [here.length, count('inForce'), count('lags'), count('noAnswer')];
    return [dataCentre, ...counts.map(String)];
  });
}

function daemonRow({ member, standing, status }: DaemonReport): string[] {
  const load = status ? `${status.load.inFlight}/${Math.round(status.load.limit)}` : '-';
  const waiting = status ? String(status.load.waiting) : '-';
  const revision = status ? String(status.revision) : '-';
  const words = { inForce: 'in force', lags: 'lags', noAnswer: 'does not answer' };
  return [
    member.host,
    member.dataCentre,
    member.service || '-',
    member.state,
    revision,
    load,
    waiting,
    words[standing],
  ];
}

function storeWords(reports: DaemonReport[]): string {
  const asked = reports.flatMap(({ status }) => status?.storeReachable ?? []);
  if (asked.length === 0) return 'no daemon asks the store';
  const reached = asked.filter((isReached) => isReached).length;
  return `the store answers ${reached} of the ${asked.length} daemons that ask it`;
}

/** Shows where the newest revision is in force, and which daemons lag or do not answer. */
export async function runStatus(context: CommandContext, flags: StatusFlags): CommandResult {
  const address = daemonAddress(context, flags);
  if (address.isErr()) return address;
  const known = await context.peers.call<Member[]>(
    address.value,
    ControlMethod.members,
    {},
    TIMEOUT_MS,
  );
  if (known.isErr()) return known;
  const present = known.value
    .filter((member) => member.state !== 'gone')
    .sort((one, other) => one.host.localeCompare(other.host));
  const statuses = await boundedMap(present, ASKED_AT_ONCE, (member) => askMember(context, member));
  const highest = Math.max(0, ...statuses.map((status) => status?.revision ?? 0));
  const reports = present.map((member, index): DaemonReport => {
    const status = statuses[index];
    return { member, status, standing: standingOf(status, highest) };
  });
  const { output } = context;
  if (flags.json) {
    printJson(output, { revision: highest, daemons: reports });
    return Ok(ResultCode.ok);
  }
  output.print(`revision ${highest}; ${storeWords(reports)}`);
  printTable(
    output,
    ['DATA CENTRE', 'DAEMONS', 'IN FORCE', 'LAG', 'NO ANSWER'],
    summaryRows(reports),
  );
  const named = flags.all ? reports : reports.filter(({ standing }) => standing !== 'inForce');
  const shown = flags.all ? named : named.slice(0, MOST_NAMED);
  if (shown.length === 0) return Ok(ResultCode.ok);
  output.print('');
  printTable(
    output,
    ['HOST', 'DATA CENTRE', 'SERVICE', 'STATE', 'REVISION', 'CALLS', 'WAITING', 'CONFIGURATION'],
    shown.map(daemonRow),
  );
  if (shown.length < named.length) output.print(`and ${named.length - shown.length} more: --all`);
  return Ok(ResultCode.ok);
}
