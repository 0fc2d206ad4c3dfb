import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { AttemptAllowance, parseTokens } from '../attempts/attemptAllowance.js';
import { AttemptGrant } from '../attempts/attemptGrant.js';
import { ResultCode } from '../runtime/resultCode.js';

const SEED = 4;
const RUNS = 2000;

interface CallTree {
  children: CallTree[];
  concurrent: boolean;
}

/** How one attempt ends. A refused one ran nothing; an inflated answer returns too many tokens. */
type Fate = 'answered' | 'refused' | 'answerLost' | 'refusedInflated' | 'retriesItself';

type AllowanceFactory = (tokens: number, children: number) => AttemptAllowance;

const createAllowance: AllowanceFactory = (tokens, children) =>
  new AttemptAllowance(tokens, children);

/** Each hop keeps all its tokens and hands them all out too: the split switched off. */
const createMultiplyingAllowance: AllowanceFactory = (tokens, children) => {
  const allowance = new AttemptAllowance(tokens, children);
  allowance.grantForAttempt = () => new AttemptGrant(allowance.left, () => {});
  allowance.grantForChild = () => new AttemptGrant(allowance.left, () => {});
  return allowance;
};

/** Believes an answer that returns more than it was granted. */
const createTrustingAllowance: AllowanceFactory = (tokens, children) => {
  const allowance = new AttemptAllowance(tokens, children);
  let extra = 0;
  const { grantForAttempt, spend } = allowance;
  allowance.grantForAttempt = () => {
    const grant = grantForAttempt.call(allowance);
    const settle = grant.settle.bind(grant);
    grant.settle = (unspent) => {
      settle(unspent);
      extra += Math.max(0, unspent - grant.tokens);
    };
    return grant;
  };
  allowance.spend = () => {
    if (spend.call(allowance)) return true;
    extra -= 1;
    return extra >= 0;
  };
  return allowance;
};

const treeOf: fc.Memo<CallTree> = fc.memo((depth) =>
  fc.record({
    concurrent: fc.boolean(),
    children:
      depth <= 1 ? fc.constant([]) : fc.array(treeOf(depth - 1), { minLength: 0, maxLength: 3 }),
  }),
);

const fates = fc.infiniteStream(
  fc.constantFrom<Fate>(
    'answered',
    'refused',
    'answerLost',
    'answerLost',
    'refusedInflated',
    'retriesItself',
  ),
);

function sizeOf(tree: CallTree): number {
  return tree.children.reduce((size, child) => size + sizeOf(child), 1);
}

/** Walks a tree of calls, each attempt of which meets the next fate, and counts attempts. */
class Walk {
  attempts = 0;

  constructor(
    private readonly create: AllowanceFactory,
    private readonly nextFate: () => Fate,
  ) {}

  /** The caller's side: attempts until an answer comes or no token is left. */
  call(tree: CallTree, tokens: number): number {
    const allowance = this.create(tokens, tree.children.length);
    do {
      const fate = this.nextFate();
      const grant = allowance.grantForAttempt();
      this.attempts += 1;
      const unspent = fate.startsWith('refused')
        ? grant.tokens
        : this.run(tree, grant.tokens, fate);
      if (fate === 'answerLost') grant.forfeit();
      else grant.settle(fate === 'refusedInflated' ? unspent + 5 : unspent);
      if (fate === 'answered') break;
    } while (allowance.spend());
    return allowance.close();
  }

  /** The target's side: one execution that makes every child call. */
  private run(tree: CallTree, tokens: number, fate: Fate): number {
    const allowance = this.create(tokens, tree.children.length);
    const startChild = (child: CallTree, index: number): (() => void) => {
      const grant = allowance.grantForChild(String(index));
      return () => {
        if (grant) grant.settle(this.call(child, grant.tokens));
      };
    };
    if (tree.concurrent) {
      const started = tree.children.map(startChild);
      started.reverse().forEach((finish) => finish());
    } else {
      tree.children.forEach((child, index) => startChild(child, index)());
    }
    if (fate === 'retriesItself') {
      tree.children.forEach((child, index) => startChild(child, index)());
    }
    return allowance.close();
  }
}

function checkBound(create: AllowanceFactory): void {
  const property = fc.property(treeOf(4), fc.nat(6), fates, (tree, tokens, stream) => {
    const walk = new Walk(create, () => stream.next().value);
    const left = walk.call(tree, tokens);
    assert.ok(walk.attempts <= (1 + tokens) * sizeOf(tree));
    assert.ok(left >= 0 && left <= tokens);
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
}

test('attempts end to end stay within (1 + tokens) x tree size, whatever fails', () => {
  checkBound(createAllowance);
});

test('without the split of tokens the bound is broken', () => {
  assert.throws(() => checkBound(createMultiplyingAllowance));
});

test('without the limit on returned tokens the bound is broken', () => {
  assert.throws(() => checkBound(createTrustingAllowance));
});

test('an unspent share goes back and serves the next child', () => {
  const allowance = new AttemptAllowance(1, 2);
  const first = allowance.grantForChild('a');
  assert.equal(first?.tokens, 1);
  first?.settle(1);
  assert.equal(allowance.grantForChild('b')?.tokens, 1);
});

test('a grant is settled once, and a lost one never comes back', () => {
  const allowance = new AttemptAllowance(4, 1);
  const grant = allowance.grantForAttempt();
  assert.equal(grant.tokens, 3);
  grant.forfeit();
  grant.settle(3);
  assert.equal(allowance.left, 1);
});

test('a target that starts a child again pays with a token, and is refused without one', () => {
  const allowance = new AttemptAllowance(1, 1);
  allowance.grantForChild('a')?.settle(1);
  assert.ok(allowance.grantForChild('a'));
  assert.equal(allowance.left, 0);
  assert.equal(allowance.grantForChild('a'), undefined);
});

test('after the call has ended nothing starts and nothing comes back', () => {
  const allowance = new AttemptAllowance(2, 2);
  const grant = allowance.grantForChild('a');
  assert.equal(allowance.close(), 1);
  grant?.settle(1);
  assert.equal(allowance.left, 0);
  assert.equal(allowance.grantForChild('b'), undefined);
});

test('a header of tokens is read or refused by number', () => {
  assert.equal(parseTokens(undefined).unwrap(), 0);
  assert.equal(parseTokens('7').unwrap(), 7);
  ['-1', '1.5', '101', '1e2', ' 1', ''].forEach((header) => {
    assert.equal(parseTokens(header).unwrapErr().code, ResultCode.badHeader, header);
  });
});
