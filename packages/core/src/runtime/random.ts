/** Source of random numbers, injected so that sessions are reproducible. */
export interface RandomSource {
  /** Returns a number from 0 (included) to 1 (excluded). */
  next(): number;
}

/** Random numbers of the JavaScript runtime. */
export const systemRandom: RandomSource = { next: () => Math.random() };

/** Creates a reproducible source from a seed (mulberry32). */
export function createSeededRandom(seed: number): RandomSource {
  let state = seed >>> 0;
  return {
    next: () => {
      state = (state + 0x6d2b79f5) >>> 0;
      let mixed = Math.imul(state ^ (state >>> 15), state | 1);
      mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
      return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    },
  };
}
