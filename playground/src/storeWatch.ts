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

/** Streams the changes that a watch asks for, until its connection ends. */
export function streamWatch(
  database: MemoryDatabase,
  request: EtcdWatchRequest,
  response: ServerResponse,
  isSilent: () => boolean,
): void {
  const prefix = decodeBase64(request.create_request.key);
  const asked = Number(request.create_request.start_revision);
  let next = asked === 0 ? database.revision + 1 : asked;
  const write = (message: EtcdWatchResponse) => {
    if (isSilent()) return;
    const result = { header: { revision: String(database.revision) }, ...message };
    response.write(`${JSON.stringify({ result })}\n`);
  };
  const pump = () => {
    const changes = database.changesSince(prefix, next);
    next = database.revision + 1;
    if (!changes) {
      write({ canceled: true, compact_revision: String(database.compactedRevision + 1) });
      response.end();
    } else if (changes.length > 0) {
      write({ events: changes.map(eventOf) });
    }
  };
  response.writeHead(200, { 'content-type': 'application/json' });
  write({ created: true });
  const stop = database.onChange(pump);
  response.on('close', stop);
  pump();
}
