export { StoreStandIn, startStoreStandIn } from './storeStandIn.js';
export type { StoreFaults, StoreStandInOptions } from './storeStandIn.js';
export { startDeployment } from './deployment.js';
export type { DeployedHost, Deployment, DeploymentPlan } from './deployment.js';
export { startPassThrough } from './passThrough.js';
export { startProcess } from './processes.js';
export type { PlaygroundProcess } from './processes.js';
export { startTarget } from './target.js';
export type { Target, TargetCall, TargetSettings } from './target.js';
