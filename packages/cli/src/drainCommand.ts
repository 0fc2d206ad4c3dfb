import { ControlMethod, Err, Ok, ResultCode } from '@shallotcroft/core';
import type { Member } from '@shallotcroft/core';
import { badRequest, daemonAddress } from './commandContext.js';
import type { CommandContext, CommandFlags, CommandResult } from './commandContext.js';
import { printJson } from './output.js';

const TIMEOUT_MS = 5000;

/** Runs `drain`: tells the daemon on `host` to drain its target. */
export async function runDrain(
  context: CommandContext,
  host: string,
  flags: CommandFlags,
): CommandResult {
  const address = daemonAddress(context, flags);
  if (address.isErr()) return address;
  const { peers, output } = context;
  const members = await peers.call<Member[]>(address.value, ControlMethod.members, {}, TIMEOUT_MS);
  if (members.isErr()) return members;
  const present = members.value.filter((one) => one.state !== 'gone');
  const found = present.filter((one) => one.host === host);
  const [member] = found;
  if (!member || found.length > 1) {
    const hosts = present.map((one) => one.host).sort();
    const problem = member ? `${found.length} daemons are known` : 'no daemon is known';
    return Err(badRequest(`${problem} on host ${host}; known hosts: ${hosts.join(', ')}`));
  }
  const to = { address: member.address, port: member.peerPort };
  const drained = await peers.call<Member>(to, ControlMethod.drain, {}, TIMEOUT_MS);
  if (drained.isErr()) return drained;
  if (flags.json) printJson(output, drained.value);
  else output.print(`${host}: ${drained.value.service || 'no target'} is ${drained.value.state}`);
  return Ok(ResultCode.ok);
}
