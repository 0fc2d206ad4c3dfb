import { resultNameOf } from './resultCode.js';
import type { ResultName, ResultNumber } from './resultCode.js';

/** A failure: result code, its name, and a message with the remedy. */
export interface Failure {
  code: ResultNumber;
  name: ResultName;
  message: string;
}

/** Creates a failure from a result code and a message. */
export function createFailure(code: ResultNumber, message: string): Failure {
  return { code, name: resultNameOf(code) ?? 'internal', message };
}
