import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import os from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { pathToFileURL } from 'node:url';
import type { Clock, HttpCallTransport } from '@shallotcroft/core';
import { build } from 'esbuild';
import type { BuildOptions } from 'esbuild';

const root = path.resolve(import.meta.dirname, '../../..');

/** What the bundled entry exports. */
interface BundledCore {
  HttpCallTransport: typeof HttpCallTransport;
  systemClock: Clock;
}

/** Bundles the transport to targets as the daemon's code is bundled. */
async function bundleTransport(folder: string): Promise<BundledCore> {
  const optionsUrl = pathToFileURL(path.join(root, 'scripts/bundleOptions.mjs')).href;
  const { default: bundleOptions } = (await import(optionsUrl)) as { default: BuildOptions };
  const entry = path.join(folder, 'entry.ts');
  const outfile = path.join(folder, 'bundle.cjs');
  writeFileSync(entry, "export { HttpCallTransport, systemClock } from '@shallotcroft/core';");
  await build({ ...bundleOptions, entryPoints: [entry], outfile });
  return createRequire(outfile)(outfile) as BundledCore;
}

// A failed assertion of the HTTP library stopped the daemon for seconds while its error was worded.
test('a response that fails an assertion of a library does not make the bundle parse its source', async () => {
  const folder = mkdtempSync(path.join(os.tmpdir(), 'shallotcroft-bundle-'));
  const bundled = await bundleTransport(folder);
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.write('HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nhi'));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { systemClock: clock } = bundled;
  const transport = new bundled.HttpCallTransport({ clock, incarnation: 'test' });
  const sent = await transport.send(
    { address: '127.0.0.1', port: (server.address() as AddressInfo).port },
    '/',
    { call: 'test', method: 'GET', headers: {}, body: Buffer.alloc(0) },
    { timeoutMs: 5000, maxResponseBytes: 1000, signal: new AbortController().signal },
  );
  assert.match(sent.unwrapErr().message, /an assertion of a library failed$/);
  await transport.close();
  server.close();
  rmSync(folder, { recursive: true });
});
