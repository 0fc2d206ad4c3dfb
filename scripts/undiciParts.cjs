// The parts of undici that the daemon uses. Its index also loads fetch, cookies and mocks, and the
// copy of undici inside Node.js with them.
const Agent = require('../node_modules/undici/lib/dispatcher/agent');
const Client = require('../node_modules/undici/lib/dispatcher/client');
const Dispatcher = require('../node_modules/undici/lib/dispatcher/dispatcher');
const Pool = require('../node_modules/undici/lib/dispatcher/pool');
const buildConnector = require('../node_modules/undici/lib/core/connect');
const apiRequest = require('../node_modules/undici/lib/api/api-request');

Dispatcher.prototype.request = apiRequest;

module.exports = {
  Agent,
  Client,
  Pool,
  buildConnector,
};
