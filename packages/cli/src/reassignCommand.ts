import { ControlMethod, Err, Ok, ResultCode, reassignShard } from '@shallotcroft/core';
import type { Member } from '@shallotcroft/core';
import { badRequest, daemonAddress, openStore } from './commandContext.js';
import type { CommandContext, CommandFlags, CommandResult } from './commandContext.js';
import { printJson } from './output.js';

const TIMEOUT_MS = 5000;

/** Flags of `reassign`. */
export interface ReassignFlags extends CommandFlags {
  /** Host of the daemon that becomes the home. */
  to?: string;
  /** Incarnations that have ended, with commas between. */
  ended?: string;
}

/** Runs `reassign`: assigns a shard whose home and deputy have both ended to another daemon. */
export async function runReassign(
  context: CommandContext,
  service: string,
  shardText: string,
  flags: ReassignFlags,
): CommandResult {
  const shard = Number(shardText);
  if (!Number.isSafeInteger(shard) || shard < 0) {
    return Err(badRequest(`${shardText} is not a shard number`));
  }
  const address = daemonAddress(context, flags);
  if (address.isErr()) return address;
  const { peers, output, clock } = context;
  const members = await peers.call<Member[]>(address.value, ControlMethod.members, {}, TIMEOUT_MS);
  if (members.isErr()) return members;
  const member = members.value.find(
    (one) => one.host === flags.to && one.service === service && one.state === 'serving',
  );
  if (!member) {
    return Err(badRequest(`--to must name the host of a serving target of ${service}`));
  }
  const store = openStore(context, flags);
  if (store.isErr()) return store;
  const ended = flags.ended?.split(',') ?? [];
  const { incarnation, address: to, peerPort } = member;
  const reassigned = await reassignShard({
    store: store.value,
    peers,
    clock,
    service,
    shard,
    to: { incarnation, address: to, peerPort },
    ended,
  });
  await store.value.close();
  if (reassigned.isErr()) return reassigned;
  if (flags.json) printJson(output, reassigned.value);
  else output.print(`shard ${shard} of ${service} is assigned to ${member.host}`);
  return Ok(ResultCode.ok);
}
