export { StoreStandIn, startStoreStandIn } from './storeStandIn.js';
export type { StoreFaults, StoreStandInOptions } from './storeStandIn.js';
