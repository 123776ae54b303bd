/** Every order of what may happen to three attempts of a request, and faults that this must find. */
import { afterEach, describe, expect, it, vi } from 'vitest';
import * as execution from '../common/Execution.js';
import { CallKind } from '../common/Messages.js';
import { type Forwarders, playRequest, Violation } from './EndingsModel.js';
import { Step } from './EndingsSteps.js';
import * as answers from './TargetExchange.js';
import { configuration } from './TestForwarding.js';

const SCRIPT_STEPS = 3;
const ATTEMPTS = [1, 2, 3];

/** Faulty functions in place of right ones. */
interface Faults {
  readonly execution?: Partial<typeof execution>;
  readonly answers?: Partial<typeof answers>;
}

/** Forwarders with faults in the modules that they build on. */
async function forwardersWith(faults: Faults): Promise<Forwarders> {
  vi.resetModules();
  vi.doMock('../common/Execution.js', () => ({ ...execution, ...faults.execution }));
  vi.doMock('./TargetExchange.js', () => ({ ...answers, ...faults.answers }));
  const { forwardCall } = await import('./CallForwarder.js');
  const { forwardStream } = await import('./StreamForwarder.js');
  const profile = configuration.services.find(({ engine }) => engine !== undefined)?.engine;
  if (profile === undefined) {
    throw new Error('the harness has no engines');
  }
  return {
    call: forwardCall,
    stream: (parts, request) => forwardStream(parts, request, profile),
  };
}

function* scripts(): Generator<Step[]> {
  const steps = Object.values(Step);
  for (let code = 0; code < steps.length ** SCRIPT_STEPS; code++) {
    yield Array.from({ length: SCRIPT_STEPS }, (_each, index) => {
      return steps[Math.floor(code / steps.length ** index) % steps.length] ?? Step.Answered;
    });
  }
}

/** Each violation with the first script that shows it. */
async function findViolations(
  forwarders: Forwarders,
  kind: CallKind,
): Promise<Map<Violation, string>> {
  const found = new Map<Violation, string>();
  for (const script of scripts()) {
    for (const maxAttempts of ATTEMPTS) {
      for (const violation of await playRequest(forwarders, kind, maxAttempts, script)) {
        if (!found.has(violation)) {
          found.set(violation, `${script.join(', ')}; ${maxAttempts} attempts`);
        }
      }
    }
  }
  return found;
}

describe('the ending of a request', () => {
  afterEach(() => {
    vi.doUnmock('../common/Execution.js');
    vi.doUnmock('./TargetExchange.js');
  });

  describe('in every order of three steps', () => {
    it.each(Object.values(CallKind))('keeps all promises to the caller: %s', async (kind) => {
      const forwarders = await forwardersWith({});
      expect(await findViolations(forwarders, kind)).toEqual(new Map());
    });
  });

  describe('with a seeded fault', () => {
    it.each([
      {
        what: 'every request may move',
        faults: { execution: { mayMove: () => true } },
        kind: CallKind.NonIdempotent,
        violation: Violation.RanTwice,
      },
      {
        what: 'every request counts as unrun',
        faults: { execution: { isUnrun: () => true } },
        kind: CallKind.NonIdempotent,
        violation: Violation.FalseRefusal,
      },
      {
        what: 'the last attempt alone decides',
        faults: {
          execution: {
            worse: (_first: execution.Execution, second: execution.Execution) => second,
          },
        },
        kind: CallKind.Idempotent,
        violation: Violation.FalseRefusal,
      },
      {
        what: 'every answer counts as the own one',
        faults: { answers: { isOwnAnswer: () => true } },
        kind: CallKind.Stream,
        violation: Violation.WrongBytes,
      },
    ])('$what is found', async ({ faults, kind, violation }) => {
      const forwarders = await forwardersWith(faults);
      expect([...(await findViolations(forwarders, kind)).keys()]).toContain(violation);
    });
  });
});
