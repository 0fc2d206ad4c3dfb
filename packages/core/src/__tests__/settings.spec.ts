import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ResultCode } from '../runtime/resultCode.js';
import { parseSettings } from '../configuration/settings.js';

const head = 'host: h1\ndataCentre: hobart\naddress: 10.0.0.7\n';

test('omitted settings get their defaults', () => {
  const settings = parseSettings({ file: 's.yaml', text: head }).unwrap();
  assert.deepEqual(settings, {
    host: 'h1',
    dataCentre: 'hobart',
    region: 'default',
    address: '10.0.0.7',
    callPort: 7400,
    peerPort: 7401,
    store: undefined,
    bootstrap: [],
    logLevel: 'info',
  });
});

const wrong: [text: string, position: string, words: RegExp][] = [
  ['host: h1\ndataCentre: hobart\n', '1: address:', /10\.0\.0\.7/],
  [`${head}callPort: 70000\n`, '4: callPort:', /65535/],
  [`${head}adress: x\n`, '4: adress:', /address/],
  [`${head}store: { endpoints: [] }\n`, '4: store.endpoints:', /at least one/],
  [`${head}store:\n  endpoints:\n    - ftp://x\n`, '6: store.endpoints.0:', /http:/],
  [`${head}bootstrap: [{ address: nowhere, port: 1 }]\n`, '4: bootstrap.0.address:', /IP address/],
  [`${head}logLevel: loud\n`, '4: logLevel:', /debug/],
  ['', '1: document:', /host, dataCentre/],
];

test('invalid settings fail with settingsInvalid and name file, line, path and remedy', () => {
  wrong.forEach(([text, position, words]) => {
    const failure = parseSettings({ file: 's.yaml', text }).unwrapErr();
    assert.equal(failure.code, ResultCode.settingsInvalid);
    assert.ok(
      failure.message.startsWith(`s.yaml:${position}`),
      `${failure.message}\nnot at ${position}`,
    );
    assert.match(failure.message, words);
  });
});
