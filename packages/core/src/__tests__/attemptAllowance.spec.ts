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

/**
 * How one attempt ends. A rejected attempt ran nothing, an inflated response returns more tokens
 * than were granted, and in `repeatsChildCalls` the target starts all its child calls twice.
 */
type AttemptEnd =
  'responded' | 'rejected' | 'responseLost' | 'rejectedInflated' | 'repeatsChildCalls';

type AllowanceFactory = (tokens: number, children: number) => AttemptAllowance;

const createAllowance: AllowanceFactory = (tokens, children) =>
  new AttemptAllowance(tokens, children);

/** Faulty variant without the split: each hop grants all its tokens and keeps them too. */
const createMultiplyingAllowance: AllowanceFactory = (tokens, children) => {
  const allowance = new AttemptAllowance(tokens, children);
  allowance.grantForAttempt = () => new AttemptGrant(allowance.left, () => {});
  allowance.grantForChild = () => new AttemptGrant(allowance.left, () => {});
  return allowance;
};

/** Faulty variant that accepts a response which returns more tokens than were granted. */
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

const ends = fc.infiniteStream(
  fc.constantFrom<AttemptEnd>(
    'responded',
    'rejected',
    'responseLost',
    'responseLost',
    'rejectedInflated',
    'repeatsChildCalls',
  ),
);

function sizeOf(tree: CallTree): number {
  return tree.children.reduce((size, child) => size + sizeOf(child), 1);
}

/** Runs a call tree in which each attempt ends as generated, and counts the attempts. */
class CallTreeRun {
  attempts = 0;

  constructor(
    private readonly create: AllowanceFactory,
    private readonly nextEnd: () => AttemptEnd,
  ) {}

  /** Caller: makes attempts until one has a response or no token is left. */
  call(tree: CallTree, tokens: number): number {
    const allowance = this.create(tokens, tree.children.length);
    do {
      const end = this.nextEnd();
      const grant = allowance.grantForAttempt();
      this.attempts += 1;
      const unspent = end.startsWith('rejected') ? grant.tokens : this.run(tree, grant.tokens, end);
      if (end === 'responseLost') grant.forfeit();
      else grant.settle(end === 'rejectedInflated' ? unspent + 5 : unspent);
      if (end === 'responded') break;
    } while (allowance.spend());
    return allowance.close();
  }

  /** Target: one execution, which makes every child call. */
  private run(tree: CallTree, tokens: number, end: AttemptEnd): number {
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
    if (end === 'repeatsChildCalls') {
      tree.children.forEach((child, index) => startChild(child, index)());
    }
    return allowance.close();
  }
}

function checkBound(create: AllowanceFactory): void {
  const property = fc.property(treeOf(4), fc.nat(6), ends, (tree, tokens, stream) => {
    const treeRun = new CallTreeRun(create, () => stream.next().value);
    const left = treeRun.call(tree, tokens);
    assert.ok(treeRun.attempts <= (1 + tokens) * sizeOf(tree));
    assert.ok(left >= 0 && left <= tokens);
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
}

test('the attempts of a call tree stay within (1 + tokens) x tree size, whichever attempts fail', () => {
  checkBound(createAllowance);
});

test('the bound check fails for an allowance that does not split its tokens', () => {
  assert.throws(() => checkBound(createMultiplyingAllowance));
});

test('the bound check fails for an allowance that accepts more tokens back than it granted', () => {
  assert.throws(() => checkBound(createTrustingAllowance));
});

test('the unspent tokens of a child call are available to the next one', () => {
  const allowance = new AttemptAllowance(1, 2);
  const first = allowance.grantForChild('a');
  assert.equal(first?.tokens, 1);
  first?.settle(1);
  assert.equal(allowance.grantForChild('b')?.tokens, 1);
});

test('a grant is settled once, and forfeited tokens are not returned later', () => {
  const allowance = new AttemptAllowance(4, 1);
  const grant = allowance.grantForAttempt();
  assert.equal(grant.tokens, 3);
  grant.forfeit();
  grant.settle(3);
  assert.equal(allowance.left, 1);
});

test('starting a child call again costs a token and is rejected without one', () => {
  const allowance = new AttemptAllowance(1, 1);
  allowance.grantForChild('a')?.settle(1);
  assert.ok(allowance.grantForChild('a'));
  assert.equal(allowance.left, 0);
  assert.equal(allowance.grantForChild('a'), undefined);
});

test('after the call has ended no child call starts and no tokens are returned', () => {
  const allowance = new AttemptAllowance(2, 2);
  const grant = allowance.grantForChild('a');
  assert.equal(allowance.close(), 1);
  grant?.settle(1);
  assert.equal(allowance.left, 0);
  assert.equal(allowance.grantForChild('b'), undefined);
});

test('a token header is parsed, and an invalid one fails with badHeader', () => {
  assert.equal(parseTokens(undefined).unwrap(), 0);
  assert.equal(parseTokens('7').unwrap(), 7);
  ['-1', '1.5', '101', '1e2', ' 1', ''].forEach((header) => {
    assert.equal(parseTokens(header).unwrapErr().code, ResultCode.badHeader, header);
  });
});
