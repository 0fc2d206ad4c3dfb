import * as z from 'zod';
import type { OutcomeTable, OutcomeRow } from './outcomeTable.js';
import type { DaemonAddress } from './shardRecord.js';
import { AtMostOnceMethod } from './homeLease.js';
import type { PeerCaller } from '../peers/peer.js';
import { ResultCode } from '../runtime/resultCode.js';
import type { ResultName } from '../runtime/resultCode.js';

const MAX_PART_BYTES = 1024 * 1024;
/** Estimated size of a row without its body. */
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

/** Schema of `StagedTable`. */
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

/**
 * Message with one part of an outcome table, sent to the next home of a shard.
 * `handover`: id of the handover. `floor`: keys minted before this calendar time are rejected.
 */
export type StagedTable = z.infer<typeof stagedTableSchema>;

function splitRows(rows: OutcomeRow[]): OutcomeRow[][] {
  const parts: OutcomeRow[][] = [[]];
  let size = 0;
  rows.forEach((row) => {
    size += ROW_OVERHEAD_BYTES + (row.answer?.body.length ?? 0);
    if (size > MAX_PART_BYTES) {
      parts.push([]);
      size = 0;
    }
    parts.at(-1)?.push(row);
  });
  return parts;
}

/** Sends an outcome table to the next home; true when every part was accepted. */
export async function sendTable(
  peers: PeerCaller,
  to: DaemonAddress,
  header: Omit<StagedTable, 'to' | 'part' | 'floor' | 'rows'>,
  table: OutcomeTable,
): Promise<boolean> {
  const address = { address: to.address, port: to.peerPort };
  for (const [part, rows] of splitRows(table.rows()).entries()) {
    const message = { ...header, to: to.incarnation, part, floor: table.minMintedAt, rows };
    const response = await peers.call<boolean>(
      address,
      AtMostOnceMethod.stage,
      message,
      STAGE_TIMEOUT_MS,
    );
    if (response.isErr() || response.value !== true) return false;
  }
  return true;
}
