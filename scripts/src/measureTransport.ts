import { fork } from 'node:child_process';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { fileURLToPath } from 'node:url';
import { HttpCallTransport, systemClock } from '@shallotcroft/core';
import { Pool } from 'undici';

/** Compares a plain `undici` request with the same call over `HttpCallTransport`, in alternation. */

const ROUNDS = 20;
const CALLS_PER_ROUND = 2000;
const CONCURRENCY = 4;
const BODY = Buffer.alloc(2048, 'a');

interface Variant {
  name: string;
  call: () => Promise<void>;
  samplesMs: number[];
}

function serve(): void {
  const server = createServer((incoming, response) => {
    incoming.resume();
    incoming.on('end', () => {
      response.setHeader('content-length', BODY.length);
      response.end(BODY);
    });
  });
  server.listen(0, '127.0.0.1', () => process.send?.((server.address() as AddressInfo).port));
}

function quantile(sorted: number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

async function worker(variant: Variant, calls: number): Promise<void> {
  for (let call = 0; call < calls; call++) {
    const startedAt = performance.now();
    await variant.call();
    variant.samplesMs.push(performance.now() - startedAt);
  }
}

async function runRound(variant: Variant): Promise<void> {
  const workers = Array.from({ length: CONCURRENCY }, () =>
    worker(variant, CALLS_PER_ROUND / CONCURRENCY),
  );
  await Promise.all(workers);
}

function directVariant(port: number): Variant {
  const pool = new Pool(`http://127.0.0.1:${port}`, { connections: 64, pipelining: 1 });
  return {
    name: 'direct',
    samplesMs: [],
    call: async () => {
      const answer = await pool.request({ path: '/', method: 'POST', body: BODY });
      await answer.body.arrayBuffer();
    },
  };
}

function transportVariant(port: number): Variant {
  const transport = new HttpCallTransport({ clock: systemClock, incarnation: 'measure' });
  const to = { address: '127.0.0.1', port };
  const { signal } = new AbortController();
  const bounds = { timeoutMs: 2000, maxResponseBytes: 1_000_000, signal };
  return {
    name: 'transport',
    samplesMs: [],
    call: async () => {
      const request = { call: 'catalogue.read', headers: {}, body: BODY };
      (await transport.send(to, '/', request, bounds)).unwrap();
    },
  };
}

async function measure(port: number): Promise<void> {
  const variants = [directVariant(port), transportVariant(port)];
  for (const variant of variants) await runRound(variant);
  variants.forEach((variant) => variant.samplesMs.splice(0));
  for (let count = 0; count < ROUNDS; count++) {
    for (const variant of variants) await runRound(variant);
  }
  const rows = variants.map((variant) => {
    const sorted = variant.samplesMs.sort((a, b) => a - b);
    return { way: variant.name, p50: quantile(sorted, 0.5), p99: quantile(sorted, 0.99) };
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
