import * as z from 'zod';
import type { OutcomeTable, TableRow } from './outcomeTable.js';
import type { Holder } from './shardRecord.js';
import { AtMostOnceMethod } from './homeLease.js';
import type { PeerCaller } from '../peers/peer.js';
import { ResultCode } from '../runtime/resultCode.js';
import type { ResultName } from '../runtime/resultCode.js';

const CHUNK_BYTES = 1024 * 1024;
const ROW_OVERHEAD_BYTES = 256;
const STAGE_TIMEOUT_MS = 2000;

const failureSchema = z.object({
  code: z.enum(ResultCode),
  name: z.enum(Object.keys(ResultCode) as [ResultName, ...ResultName[]]),
  message: z.string(),
});

const rowSchema = z.object({
  key: z.string(),
  answer: z
    .object({
      status: z.number(),
      headers: z.record(z.string(), z.string()),
      body: z.string(),
    })
    .optional(),
  failure: failureSchema.optional(),
});

/** A part of a table on its way to the next home. */
export const stagedTableSchema = z.object({
  service: z.string(),
  to: z.string(),
  shardCount: z.number(),
  shard: z.number(),
  handover: z.string(),
  part: z.number(),
  floor: z.number(),
  rows: z.array(rowSchema),
});

/** A part of a table on its way to the next home. */
export type StagedTable = z.infer<typeof stagedTableSchema>;

function partsOf(rows: TableRow[]): TableRow[][] {
  const parts: TableRow[][] = [[]];
  let size = 0;
  rows.forEach((row) => {
    size += ROW_OVERHEAD_BYTES + (row.answer?.body.length ?? 0);
    if (size > CHUNK_BYTES) {
      parts.push([]);
      size = 0;
    }
    parts.at(-1)?.push(row);
  });
  return parts;
}

/** Sends a table to the daemon that shall be home next; true when all of it has arrived. */
export async function sendTable(
  peers: PeerCaller,
  to: Holder,
  head: Omit<StagedTable, 'to' | 'part' | 'floor' | 'rows'>,
  table: OutcomeTable,
): Promise<boolean> {
  const address = { address: to.address, port: to.peerPort };
  for (const [part, rows] of partsOf(table.rows()).entries()) {
    const message = { ...head, to: to.incarnation, part, floor: table.floor, rows };
    const answer = await peers.call<boolean>(
      address,
      AtMostOnceMethod.stage,
      message,
      STAGE_TIMEOUT_MS,
    );
    if (answer.isErr() || answer.value !== true) return false;
  }
  return true;
}
