export { startDaemon } from './daemon.js';
export type { Daemon, DaemonOptions } from './daemon.js';
export { createDaemonParts } from './daemonParts.js';
export type { DaemonParts, DaemonPartsOptions } from './daemonParts.js';
