import type { TargetRecord } from '../../directory/targetRecord.js';

/** Record of a target that is ready. */
export const targetRecord: TargetRecord = {
  targetId: 'i-1',
  startedAt: 1,
  service: 'books',
  dataCentre: 'hobart',
  slots: 10,
  state: 'ready',
  warmAt: 0,
  address: '10.0.0.1',
  callPort: 1,
  peerPort: 2,
  incarnation: 'run-1',
  version: 3,
};
