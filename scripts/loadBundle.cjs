// Starts the bundle with the compiled code that the build has kept beside it. Without that code, or
// with code of another version of Node.js, the bundle is compiled as usual.
const process = require('node:process');

// A signal without a listener ends the process. The settings are read after the bundle is loaded,
// so the change that this one reports is not missed.
process.on('SIGHUP', () => {});

const { readFileSync } = require('node:fs');
const { createRequire } = require('node:module');
const path = require('node:path');
const { Script } = require('node:vm');

const bundle = path.join(__dirname, 'daemon.cjs');
const codeCache = path.join(__dirname, 'daemon.cache');

function readCodeCache() {
  try {
    return readFileSync(codeCache);
  } catch {
    return undefined;
  }
}

const source = `(function (require, module, exports) {${readFileSync(bundle, 'utf8')}\n})`;
const script = new Script(source, { filename: bundle, cachedData: readCodeCache() });
module.exports = { script, codeCache };

const loaded = { exports: {} };
script.runInThisContext()(createRequire(bundle), loaded, loaded.exports);
