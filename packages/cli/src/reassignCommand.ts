import { ControlMethod, Err, Ok, ResultCode, reassignShard } from '@shallotcroft/core';
import type { Member } from '@shallotcroft/core';
import { badRequest, daemonAddress, openStore } from './commandContext.js';
import type { CommandContext, CommandFlags, CommandResult } from './commandContext.js';
import { printJson } from './output.js';

const TIMEOUT_MS = 5000;

/** Flags of `reassign`. */
export interface ReassignFlags extends CommandFlags {
  to?: string;
  /** Incarnations that have ended, with commas. */
  ended?: string;
}

/** Gives a shard whose home and deputy have both ended to the daemon of another host. */
export async function runReassign(
  context: CommandContext,
  service: string,
  shardText: string,
  flags: ReassignFlags,
): CommandResult {
  const shard = Number(shardText);
  if (!Number.isSafeInteger(shard) || shard < 0) {
    return Err(badRequest(`${shardText} is not the number of a shard`));
  }
  const address = daemonAddress(context, flags);
  if (address.isErr()) return address;
  const { peers, output, clock } = context;
  const known = await peers.call<Member[]>(address.value, ControlMethod.members, {}, TIMEOUT_MS);
  if (known.isErr()) return known;
  const member = known.value.find(
    (one) => one.host === flags.to && one.service === service && one.state === 'serving',
  );
  if (!member) {
    return Err(badRequest(`give --to the host of a serving target of ${service}`));
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
  else output.print(`shard ${shard} of ${service} is given to ${member.host}`);
  return Ok(ResultCode.ok);
}
