import { systemClock } from '@shallotcroft/core';
import { startStoreStandIn } from './storeStandIn.js';

/**
 * Entry point of the store stand-in: `node storeMain.js [PORT [ADMIN_PORT]]`. A port of 0, the
 * default, selects a free one.
 */

const [port = '0', adminPort = '0'] = process.argv.slice(2);
const standIn = await startStoreStandIn({
  clock: systemClock,
  port: Number(port),
  adminPort: Number(adminPort),
});
console.log(JSON.stringify({ listening: standIn.port, admin: standIn.adminPort }));

process.once('SIGTERM', () => {
  standIn.close().catch((error: unknown) => console.error(error));
});
