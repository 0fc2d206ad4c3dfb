import type { ServerResponse } from 'node:http';
import { decodeBase64 } from '@shallotcroft/core';
import type {
  EtcdEvent,
  EtcdWatchRequest,
  EtcdWatchResponse,
  MemoryDatabase,
  StoreChange,
} from '@shallotcroft/core';
import { keyValueOf } from './storeGateway.js';

function eventOf(change: StoreChange): EtcdEvent {
  const kv = keyValueOf({ ...change.entry, modRevision: change.revision });
  return change.entry.modRevision === 0 ? { type: 'DELETE', kv } : { kv };
}

/**
 * Streams the changes requested by a watch until its connection closes. Nothing is written while
 * `isUnresponsive` returns true.
 */
export function streamWatch(
  database: MemoryDatabase,
  request: EtcdWatchRequest,
  response: ServerResponse,
  isUnresponsive: () => boolean,
): void {
  const prefix = decodeBase64(request.create_request.key);
  const startRevision = Number(request.create_request.start_revision);
  let nextRevision = startRevision === 0 ? database.revision + 1 : startRevision;
  const write = (message: EtcdWatchResponse) => {
    if (isUnresponsive()) return;
    const result = { header: { revision: String(database.revision) }, ...message };
    response.write(`${JSON.stringify({ result })}\n`);
  };
  const sendChanges = () => {
    const changes = database.changesSince(prefix, nextRevision);
    nextRevision = database.revision + 1;
    if (!changes) {
      write({ canceled: true, compact_revision: String(database.compactedRevision + 1) });
      response.end();
    } else if (changes.length > 0) {
      write({ events: changes.map(eventOf) });
    }
  };
  response.writeHead(200, { 'content-type': 'application/json' });
  write({ created: true });
  const unsubscribe = database.onChange(sendChanges);
  response.on('close', unsubscribe);
  sendChanges();
}
