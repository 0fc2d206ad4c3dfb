export { startDaemon } from './daemon.js';
export type { Daemon, DaemonOptions } from './daemon.js';
export { createDaemonParts } from './daemonParts.js';
export type { DaemonParts, DaemonPartsOptions } from './daemonParts.js';
export { startForwardingDaemon } from './forwardingDaemon.js';
export type { ForwardingDaemon, ForwardingDaemonOptions } from './forwardingDaemon.js';
export { readForwardingSettings } from './forwardingSettings.js';
export type { ForwardingSettings } from './forwardingSettings.js';
export type { FleetPlatform } from './fleetPlatform.js';
