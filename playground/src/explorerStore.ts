import { ResultCode, Store, createFailure } from '@shallotcroft/core';
import type { Failure, StoreEntry, SwapOutcome, Watch } from '@shallotcroft/core';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { ExplorerDatabase } from './explorerDatabase.js';

/** One request to the store whose effect and answer are yet to come. */
export interface StoreRequest {
  name: string;
  from: string;
  isWrite: boolean;
  happened: boolean;
  answered: boolean;
  happen(): void;
  answer(): void;
  loseAnswer(): void;
}

function lost<T>(): Result<T, Failure> {
  return Err(createFailure(ResultCode.storeOutcomeUnknown, 'no answer'));
}

/** One daemon's session with the database; every effect and every answer waits to be let through. */
export class ExplorerStore extends Store {
  constructor(
    private readonly from: string,
    private readonly database: ExplorerDatabase,
    private readonly requests: StoreRequest[],
  ) {
    super();
  }

  get(key: string): Promise<Result<StoreEntry | undefined, Failure>> {
    return this.request(`get ${key}`, false, () => this.database.rows.get(key));
  }

  /** Answered at once: it only serves to start the daemons. */
  async list(prefix: string): Promise<Result<StoreEntry[], Failure>> {
    return Ok([...this.database.rows.values()].filter(({ key }) => key.startsWith(prefix)));
  }

  swap(key: string, expected: number, value: string): Promise<Result<SwapOutcome, Failure>> {
    const name = `swap ${key} ${expected} ${value}`;
    return this.request(name, true, () => this.database.swap(key, expected, value));
  }

  // eslint-disable-next-line class-methods-use-this
  async remove(): Promise<Result<SwapOutcome, Failure>> {
    return lost();
  }

  // eslint-disable-next-line class-methods-use-this
  async grantLease(): Promise<Result<string, Failure>> {
    return lost();
  }

  // eslint-disable-next-line class-methods-use-this
  async renewLease(): Promise<Result<number, Failure>> {
    return lost();
  }

  // eslint-disable-next-line class-methods-use-this
  watch(): Watch {
    return { close: () => undefined };
  }

  // eslint-disable-next-line class-methods-use-this
  async close(): Promise<void> {
    // Nothing is open.
  }

  private request<T>(name: string, isWrite: boolean, effect: () => T): Promise<Result<T, Failure>> {
    return new Promise((resolve) => {
      let result: T;
      const request: StoreRequest = {
        name,
        from: this.from,
        isWrite,
        happened: false,
        answered: false,
        happen: () => {
          request.happened = true;
          result = effect();
        },
        answer: () => {
          request.answered = true;
          resolve(Ok(result));
        },
        loseAnswer: () => {
          request.answered = true;
          resolve(lost());
        },
      };
      this.requests.push(request);
    });
  }
}
