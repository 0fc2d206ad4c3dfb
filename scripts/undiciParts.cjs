// The modules of undici that the daemon uses. The index of undici would also load fetch, cookies
// and mocks, and with them the copy of undici that is built into Node.js.
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
