/** Concurrent calls with the same idempotency key, one of them with a different body. */
import { v7 as uuidv7 } from 'uuid';
import { zoneOf } from '../../common/FleetPlan.js';
import type { Fault } from '../../common/prove/FaultSchedule.js';
import { type Arrival, ArrivalKind } from '../../common/WorkloadPlan.js';
import type { RunState } from './RunState.js';
import { toRequestEvidence } from './toRequestEvidence.js';

const KEY_COUNT = 4;
const CALLERS_WITH_SAME_BODY = 3;
const DEADLINE_MS = 15_000;

/** Sends calls with each of a few keys from several availability zones at the same time. */
export async function sendDuplicateCalls(run: RunState, { selector }: Fault): Promise<void> {
  const keys = Array.from({ length: KEY_COUNT }, () => uuidv7());
  await Promise.all(keys.map((key, index) => sendCallsWithKey(run, key, selector + index)));
}

/** Sends `CALLERS_WITH_SAME_BODY` calls with equal bodies and one with a different body. */
async function sendCallsWithKey(run: RunState, key: string, index: number): Promise<void> {
  const { clock, size } = run.fleet;
  const { workspaces } = size;
  const calls = Array.from({ length: CALLERS_WITH_SAME_BODY + 1 }, async (_, caller) => {
    const arrival: Arrival = {
      index,
      kind: ArrivalKind.Call,
      atMs: 0,
      workspace: workspaces[index % workspaces.length] ?? '',
      availabilityZone: zoneOf(size, caller),
      prompt: [],
      promptTokens: 0,
      maxTokens: 0,
      deadlineMs: DEADLINE_MS,
    };
    const isOther = caller === CALLERS_WITH_SAME_BODY;
    const body = JSON.stringify({ order: index, isOther });
    const outcome = await run.load.sendKeyedCall(arrival, clock.now(), key, body);
    run.requests.push(toRequestEvidence(outcome, run.now));
  });
  await Promise.all(calls);
}
