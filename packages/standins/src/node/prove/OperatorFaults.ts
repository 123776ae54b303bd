/** Concurrent publishes of conflicting configuration changes through different daemons. */
import {
  type ConfigurationObject,
  type ObjectChange,
  ObjectKind,
} from '@tanagerdyke/configuration';
import type { Fault } from '../../common/prove/FaultSchedule.js';
import { v7 as uuidv7 } from 'uuid';
import type { RunState } from './RunState.js';

const OPERATOR_COUNT = 3;
const PUBLISH_ATTEMPTS = 20;
const PUBLISH_PAUSE_MS = 500;

/** Several operators change the same object, each based on the configuration of its own daemon. */
export async function raceOperators(run: RunState, { selector }: Fault): Promise<void> {
  const count = run.fleet.daemons.length;
  const publishes = Array.from({ length: OPERATOR_COUNT }, (_, index) =>
    publishOnce(run, (selector + index) % count, (objects) =>
      changeSystemObject(objects, selector + index),
    ),
  );
  await Promise.all(publishes);
}

/** Publishes a change through each daemon in turn until one accepts it; false if none does. */
export async function publishUntilAccepted(
  run: RunState,
  createChange: (objects: readonly ConfigurationObject[]) => ObjectChange,
): Promise<boolean> {
  for (let attempt = 0; attempt < PUBLISH_ATTEMPTS; attempt++) {
    if (await publishOnce(run, attempt % run.fleet.daemons.length, createChange)) {
      return true;
    }
    await run.fleet.clock.sleep(PUBLISH_PAUSE_MS);
  }
  return false;
}

async function publishOnce(
  run: RunState,
  daemon: number,
  createChange: (objects: readonly ConfigurationObject[]) => ObjectChange,
): Promise<boolean> {
  const operator = run.fleet.operator(daemon);
  const current = await operator.configuration();
  if (current.isErr) {
    return false;
  }
  const { objects, offset: base } = current.value;
  const answer = await operator.publish(uuidv7(), base, createChange(objects));
  if (answer.isErr) {
    return false;
  }
  const { offset, digest } = answer.value;
  run.accepted.push({ base, offset, digest });
  return true;
}

/** Changes a harmless setting of the only system object, so that any two changes conflict. */
function changeSystemObject(objects: readonly ConfigurationObject[], value: number): ObjectChange {
  const upserts = objects
    .filter((each) => each.kind === ObjectKind.System)
    .map((system) => ({
      ...system,
      addressTimeToLiveMs: MIN_TIME_TO_LIVE_MS + (value % TIME_TO_LIVE_RANGE_MS),
    }));
  return { upserts, removals: [] };
}

const MIN_TIME_TO_LIVE_MS = 2_000;
const TIME_TO_LIVE_RANGE_MS = 1_000;
