import { fork } from 'node:child_process';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { fileURLToPath } from 'node:url';
import { HttpCallTransport, systemClock } from '@shallotcroft/core';
import { Pool } from 'undici';

/** Compares a plain `undici` request with the same call over the transport, in turns. */

const ROUNDS = 20;
const CALLS_PER_ROUND = 2000;
const CONCURRENCY = 4;
const ANSWER = Buffer.alloc(2048, 'a');

interface Way {
  name: string;
  call: () => Promise<void>;
  samplesMs: number[];
}

function serve(): void {
  const server = createServer((incoming, response) => {
    incoming.resume();
    incoming.on('end', () => {
      response.setHeader('content-length', ANSWER.length);
      response.end(ANSWER);
    });
  });
  server.listen(0, '127.0.0.1', () => process.send?.((server.address() as AddressInfo).port));
}

function quantile(sorted: number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

async function worker(way: Way, calls: number): Promise<void> {
  for (let call = 0; call < calls; call++) {
    const startedAt = performance.now();
    await way.call();
    way.samplesMs.push(performance.now() - startedAt);
  }
}

async function round(way: Way): Promise<void> {
  const workers = Array.from({ length: CONCURRENCY }, () =>
    worker(way, CALLS_PER_ROUND / CONCURRENCY),
  );
  await Promise.all(workers);
}

function directWay(port: number): Way {
  const pool = new Pool(`http://127.0.0.1:${port}`, { connections: 64, pipelining: 1 });
  return {
    name: 'direct',
    samplesMs: [],
    call: async () => {
      const answer = await pool.request({ path: '/', method: 'POST', body: ANSWER });
      await answer.body.arrayBuffer();
    },
  };
}

function transportWay(port: number): Way {
  const transport = new HttpCallTransport({ clock: systemClock, incarnation: 'measure' });
  const to = { address: '127.0.0.1', port };
  const { signal } = new AbortController();
  const bounds = { timeoutMs: 2000, maxResponseBytes: 1_000_000, signal };
  return {
    name: 'transport',
    samplesMs: [],
    call: async () => {
      const request = { call: 'catalogue.read', headers: {}, body: ANSWER };
      (await transport.send(to, '/', request, bounds)).unwrap();
    },
  };
}

async function measure(port: number): Promise<void> {
  const ways = [directWay(port), transportWay(port)];
  for (const way of ways) await round(way);
  ways.forEach((way) => way.samplesMs.splice(0));
  for (let count = 0; count < ROUNDS; count++) {
    for (const way of ways) await round(way);
  }
  const rows = ways.map((way) => {
    const sorted = way.samplesMs.sort((a, b) => a - b);
    return { way: way.name, p50: quantile(sorted, 0.5), p99: quantile(sorted, 0.99) };
  });
  console.table(rows);
  const [direct, transport] = rows;
  if (!direct || !transport) return;
  const ratios = {
    p50_ratio: transport.p50 / direct.p50,
    p99_ratio: transport.p99 / direct.p99,
  };
  console.log(JSON.stringify(ratios));
}

if (process.argv[2] === 'serve') {
  serve();
} else {
  const child = fork(fileURLToPath(import.meta.url), ['serve']);
  child.once('message', (port) => {
    measure(port as number)
      .finally(() => child.kill())
      .then(() => process.exit(0));
  });
}
