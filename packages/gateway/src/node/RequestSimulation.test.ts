/**
 * Simulates every combination of events over three attempts of a request, and checks that the
 * simulation detects seeded faults. It guards against requests that run twice, false statements
 * that a request did not run, and incomplete or foreign answers that look complete.
 */
import { afterEach, describe, expect, it, vi } from 'vitest';
import * as execution from '../common/Execution.js';
import { CallKind } from '../common/Messages.js';
import * as exchange from './ExchangeOptions.js';
import { configuration } from './ForwardingFixture.js';
import { type Forwarders, simulateRequest, Violation } from './RequestSimulation.js';
import { Step } from './SimulatedTarget.js';

const SCRIPT_STEPS = 3;
const ATTEMPTS = [1, 2, 3];

/** Faulty functions that replace those of two modules. */
interface Faults {
  readonly execution?: Partial<typeof execution>;
  readonly exchange?: Partial<typeof exchange>;
}

/** A seeded fault, and the violation by which it must be detected. */
interface SeededFault {
  readonly what: string;
  readonly faults: Faults;
  readonly kind: CallKind;
  readonly violation: Violation;
}

/** Imports the forwarders anew, with faults in two modules that they depend on. */
async function forwardersWith(faults: Faults): Promise<Forwarders> {
  vi.resetModules();
  vi.doMock('../common/Execution.js', () => ({ ...execution, ...faults.execution }));
  vi.doMock('./ExchangeOptions.js', () => ({ ...exchange, ...faults.exchange }));
  const { forwardCall } = await import('./CallForwarder.js');
  const { forwardStream } = await import('./StreamForwarder.js');
  const profile = configuration.services.find(({ engine }) => engine !== undefined)?.engine;
  if (profile === undefined) {
    throw new Error('the test configuration has no engine');
  }
  return {
    call: forwardCall,
    stream: (dependencies, request) => forwardStream(dependencies, request, profile),
  };
}

/** All sequences of steps; each step happens to one attempt. */
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
      for (const violation of await simulateRequest(forwarders, kind, maxAttempts, script)) {
        if (!found.has(violation)) {
          found.set(violation, `${script.join(', ')}; ${maxAttempts} attempts`);
        }
      }
    }
  }
  return found;
}

describe('the outcome of a request', () => {
  afterEach(() => {
    vi.doUnmock('../common/Execution.js');
    vi.doUnmock('./ExchangeOptions.js');
  });

  describe('after every sequence of three steps', () => {
    it.each(Object.values(CallKind))('violates no guarantee to the caller: %s', async (kind) => {
      const forwarders = await forwardersWith({});
      expect(await findViolations(forwarders, kind)).toEqual(new Map());
    });
  });

  describe('with a seeded fault', () => {
    it.each<SeededFault>([
      {
        what: 'a call that may not be repeated is sent again',
        faults: { execution: { canRetryElsewhere: () => true } },
        kind: CallKind.NonIdempotent,
        violation: Violation.RanTwice,
      },
      {
        what: 'every request counts as not run',
        faults: { execution: { didNotRun: () => true } },
        kind: CallKind.NonIdempotent,
        violation: Violation.FalseRefusal,
      },
      {
        what: 'only the last attempt determines whether the request ran',
        faults: {
          execution: {
            combineExecutions: (_first: execution.Execution, second: execution.Execution) => second,
          },
        },
        kind: CallKind.Idempotent,
        violation: Violation.FalseRefusal,
      },
      {
        what: 'the answer to another request is accepted',
        faults: { exchange: { matchesAttempt: () => true } },
        kind: CallKind.Stream,
        violation: Violation.WrongBytes,
      },
    ])('detects that $what', async ({ faults, kind, violation }) => {
      const forwarders = await forwardersWith(faults);
      expect([...(await findViolations(forwarders, kind)).keys()]).toContain(violation);
    });
  });
});
