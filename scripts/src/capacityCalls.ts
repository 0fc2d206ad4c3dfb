import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { PeerServer, RpcPeerCaller } from '@shallotcroft/core';
import { build } from 'hdr-histogram-js';

const WARM_UP_CALLS = 300;
const CALLS = 2000;
const NEW_CONNECTIONS = 300;
const TIMEOUT_MS = 5000;
const ADDRESS = '127.0.0.1';

/** Bytes of the IP and TCP headers of one segment with the timestamp option. */
const SEGMENT_BYTES = 52;

/** Segments of a call on an open connection: request, response, and their acknowledgements. */
const SEGMENTS_PER_CALL = 4;

/** Segments that open and close a connection. */
const SEGMENTS_PER_CONNECTION = 7;

/** Cost of a control call besides its JSON. Processor time is that of both ends together. */
export interface CallCost {
  httpBytes: number;
  segmentBytesPerCall: number;
  segmentBytesPerConnection: number;
  cpuMsOnOpenConnection: number;
  cpuMsOnNewConnection: number;
  latencyMs: { p50: number; p99: number };
}

interface WireSizes {
  request: number;
  body: number;
  response: number;
}

function bodyLength(message: string): number {
  return message.length - (message.indexOf('\r\n\r\n') + 4);
}

/** Sends one call through a relay that counts its bytes. */
async function countWireBytes(port: number): Promise<WireSizes> {
  const sizes: WireSizes = { request: 0, body: 0, response: 0 };
  const relay = createServer((incoming) => {
    const outgoing = connect(port, ADDRESS);
    incoming.on('data', (chunk: Buffer) => {
      sizes.request += chunk.length;
      sizes.body += Math.max(
        0,
        chunk.includes('\r\n\r\n') ? bodyLength(chunk.toString('latin1')) : chunk.length,
      );
      outgoing.write(chunk);
    });
    outgoing.on('data', (chunk: Buffer) => {
      sizes.response += chunk.length;
      sizes.body += Math.max(
        0,
        chunk.includes('\r\n\r\n') ? bodyLength(chunk.toString('latin1')) : chunk.length,
      );
      incoming.write(chunk);
    });
    incoming.on('close', () => outgoing.destroy());
    outgoing.on('close', () => incoming.destroy());
  });
  await new Promise<void>((resolve) => {
    relay.listen(0, ADDRESS, resolve);
  });
  const caller = new RpcPeerCaller();
  const relayPort = (relay.address() as AddressInfo).port;
  await caller.call({ address: ADDRESS, port: relayPort }, 'echo', { a: 1 }, TIMEOUT_MS);
  await caller.close();
  relay.close();
  return sizes;
}

async function cpuMsPerCall(count: number, action: () => Promise<unknown>): Promise<number> {
  const before = process.cpuUsage();
  for (let index = 0; index < count; index++) await action();
  const spent = process.cpuUsage(before);
  return (spent.user + spent.system) / 1000 / count;
}

/** Measures control calls between a caller and a server on the loopback interface. */
export async function measureCalls(): Promise<CallCost> {
  const server = new PeerServer();
  server.register('echo', async (params) => params);
  const port = await server.listen(ADDRESS, 0);
  const to = { address: ADDRESS, port };
  const params = { filler: 'x'.repeat(250) };
  const caller = new RpcPeerCaller();
  const histogram = build({ numberOfSignificantValueDigits: 3, useWebAssembly: false });
  const call = async (): Promise<void> => {
    const startedAt = performance.now();
    const response = await caller.call(to, 'echo', params, TIMEOUT_MS);
    if (response.isErr()) throw new Error(response.error.message);
    histogram.recordValue(Math.round((performance.now() - startedAt) * 1000));
  };
  await cpuMsPerCall(WARM_UP_CALLS, call);
  histogram.reset();
  const cpuMsOnOpenConnection = await cpuMsPerCall(CALLS, call);
  const cpuMsOnNewConnection = await cpuMsPerCall(NEW_CONNECTIONS, async () => {
    const fresh = new RpcPeerCaller();
    await fresh.call(to, 'echo', params, TIMEOUT_MS);
    await fresh.close();
  });
  const wire = await countWireBytes(port);
  await caller.close();
  await server.close();
  return {
    httpBytes: wire.request + wire.response - wire.body,
    segmentBytesPerCall: SEGMENT_BYTES * SEGMENTS_PER_CALL,
    segmentBytesPerConnection: SEGMENT_BYTES * SEGMENTS_PER_CONNECTION,
    cpuMsOnOpenConnection,
    cpuMsOnNewConnection,
    latencyMs: {
      p50: histogram.getValueAtPercentile(50) / 1000,
      p99: histogram.getValueAtPercentile(99) / 1000,
    },
  };
}
