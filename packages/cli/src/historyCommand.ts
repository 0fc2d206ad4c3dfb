import {
  Err,
  Ok,
  ResultCode,
  differenceOf,
  readHistory,
  textOfChange,
  timeOfKey,
} from '@shallotcroft/core';
import type { Change, Configuration } from '@shallotcroft/core';
import { badRequest, openStore } from './commandContext.js';
import type { CommandContext, CommandFlags, CommandResult } from './commandContext.js';
import { printJson, printTable } from './output.js';

/** An accepted revision with its changes against the previous one, if that is still stored. */
interface HistoryEntry {
  revision: number;
  changeId: string;
  /** Time of the change by the clock of the operator's host, as ISO 8601. */
  madeAt: string;
  changes: Change[] | undefined;
}

function entriesOf(kept: Configuration[]): HistoryEntry[] {
  return kept.map((configuration, index) => {
    const { revision, changeId } = configuration;
    const before = kept[index - 1];
    const isKnown = revision === 1 || before?.revision === revision - 1;
    return {
      revision,
      changeId,
      madeAt: new Date(timeOfKey(changeId)).toISOString(),
      changes: isKnown ? differenceOf(before, configuration) : undefined,
    };
  });
}

/** Runs `history`: lists the accepted revisions, or shows the changes of one. */
export async function runHistory(
  context: CommandContext,
  revision: string | undefined,
  flags: CommandFlags,
): CommandResult {
  const store = openStore(context, flags);
  if (store.isErr()) return store;
  const kept = await readHistory(store.value);
  await store.value.close();
  if (kept.isErr()) return kept;
  const { output } = context;
  const all = entriesOf(kept.value);
  const entries = revision ? all.filter((entry) => String(entry.revision) === revision) : all;
  if (revision && entries.length === 0) {
    return Err(
      badRequest(`revision ${revision} is not in the stored history; see: shallotcroft history`),
    );
  }
  if (flags.json) {
    printJson(output, entries);
    return Ok(ResultCode.ok);
  }
  const rows = entries.map((entry) => [
    String(entry.revision),
    entry.madeAt,
    entry.changes ? String(entry.changes.length) : 'not kept',
    entry.changeId,
  ]);
  printTable(output, ['REVISION', 'MADE AT', 'CHANGES', 'CHANGE'], rows);
  if (revision) entries[0]?.changes?.forEach((change) => output.print(`  ${textOfChange(change)}`));
  return Ok(ResultCode.ok);
}
