/** Guards against placement messages of other versions or senders that crash or mislead a node. */
import { describe, expect, it } from 'vitest';
import {
  decodeDecision,
  decodeRequest,
  encodeDecision,
  encodeRequest,
  parseCancellation,
  parsePlacementAnswer,
  parsePlacementRequest,
} from './PlacementCodec.js';
import { PlacementRefusal, RefusedPrompt, UnusableChoice } from './PlacementDecision.js';
import { engineEntry, promptRequest, simpleProfile } from './PlacementFixtures.js';

/** As it is received: through JSON. */
function sent(message: unknown): unknown {
  return JSON.parse(JSON.stringify(message)) as unknown;
}

const request = promptRequest({ excluded: new Set(['e1']), suspects: new Set(['e2']) });
const wireRequest = encodeRequest(request, '10.0.0.1:1', 700, 100);

describe('a placement request', () => {
  it('has its times on the clock of the receiver', () => {
    const parsed = parsePlacementRequest(sent(wireRequest));
    expect(parsed).toBeDefined();
    const decoded = decodeRequest(parsed ?? wireRequest, simpleProfile, 5_000);
    expect(decoded).toEqual({ ...request, dueAt: 5_200, deadlineAt: 14_900 });
    expect(parsed?.waitMs).toBe(600);
  });

  it('carries the estimate of the answer, which earlier releases lack', () => {
    const expected = { outputTokens: 400, generationMs: 900 };
    const wire = encodeRequest({ ...request, expected }, 'a:1', 700, 100);
    const parsed = parsePlacementRequest(sent(wire));
    expect(decodeRequest(parsed ?? wireRequest, simpleProfile, 0).expected).toEqual(expected);
    expect(wireRequest).not.toHaveProperty('expectedTokens');
    expect(decodeRequest(wireRequest, simpleProfile, 0).expected).toBeUndefined();
  });

  it('never expects more than the stated maximum', () => {
    const wire = { ...wireRequest, expectedTokens: 1e9 };
    expect(decodeRequest(wire, simpleProfile, 0).expected?.outputTokens).toBe(request.outputTokens);
  });

  it('fits one datagram with many excluded engines', () => {
    const many = new Set(Array.from({ length: 150 }, (_each, index) => `i-${index}0000000`));
    const wire = encodeRequest({ ...request, excluded: many, suspects: many }, 'a:1', 700, 100);
    expect(JSON.stringify(wire).length).toBeLessThan(1_300);
  });

  it.each([
    ['no object', 'x'],
    ['a list', []],
    ['a cut message', { node: 'n' }],
    ['a number as text', { ...wireRequest, waitMs: '5' }],
    ['a time without a value', { ...wireRequest, dueInMs: null }],
    ['engines that are no texts', { ...wireRequest, excluded: [1] }],
    ['a cell that is no text', { ...wireRequest, cell: 1 }],
    ['an estimate that is no number', { ...wireRequest, expectedTokens: '5' }],
    ['a negative estimate', { ...wireRequest, generationMs: -1 }],
  ])('is rejected if it is %s', (_condition, message) => {
    expect(parsePlacementRequest(sent(message))).toBeUndefined();
  });
});

describe('a placement answer', () => {
  const placement = {
    targets: [engineEntry('e1'), engineEntry('e2')] as const,
    reservedTokens: 64,
    partPrefillMs: 20,
    firstEventMs: 100,
    loss: 0.1,
    cost: 0.2,
    isNetLoss: false,
  };
  const wire = encodeDecision('7', placement);

  it('restores the placement with the engines of the entry node', () => {
    expect(parsePlacementAnswer(sent(wire))).toEqual(wire);
    expect(decodeDecision(wire, (id) => engineEntry(id))).toEqual(placement);
  });

  it('names the engines that the entry node can not use', () => {
    const decoded = decodeDecision(wire, (id) => (id === 'e2' ? undefined : engineEntry(id)));
    expect(decoded).toEqual(new UnusableChoice(['e2']));
  });

  it('restores a refusal', () => {
    const refused = new RefusedPrompt(PlacementRefusal.NetLoss, 5, 300, 7);
    expect(decodeDecision(encodeDecision('7', refused), () => undefined)).toEqual(refused);
  });

  it.each([
    ['no object', null],
    ['without an id', { ...wire, id: undefined }],
    ['of an unknown state', { ...wire, state: 'x' }],
    ['a placement without engines', { ...wire, targets: undefined }],
    ['a placement without a number', { ...wire, cost: 'x' }],
    ['a refusal without a reason', { id: '7', state: 'refused', engines: 1, retryAfterMs: 1 }],
  ])('is rejected if it is %s', (_condition, message) => {
    expect(parsePlacementAnswer(sent(message))).toBeUndefined();
  });
});

describe('a cancellation', () => {
  it.each([undefined, 1, { node: 'n' }, { node: 1, id: '7' }])(
    'is rejected if it is %j',
    (each) => {
      expect(parseCancellation(each)).toBeUndefined();
    },
  );
});
