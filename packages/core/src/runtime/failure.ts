import { resultNameOf } from './resultCode.js';
import type { ResultName, ResultNumber } from './resultCode.js';

/** A numbered failure with a message that says what to do. */
export interface Failure {
  code: ResultNumber;
  name: ResultName;
  message: string;
}

/** Makes a failure from its number and a message for people. */
export function createFailure(code: ResultNumber, message: string): Failure {
  return { code, name: resultNameOf(code) ?? 'internal', message };
}
