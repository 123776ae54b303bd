/**
 * Publishes in two steps: a change is accepted once it was read back from the log and the rule that
 * decides between changes put it in force; then it comes into force on each live node. When another
 * change wins the race, the error lists what that change did.
 */
import { type ObjectChange, objectKey, ObjectSet } from '@tanagerdyke/configuration';
import { type Clock, ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import type { OperatorClient, PublishAnswer } from './OperatorClient.js';
import { type Rollout, rolloutOf } from './Rollout.js';

const POLL_MS = 100;

/** The methods of `OperatorClient` that publishing uses. */
export type PublishingClient = Pick<OperatorClient, 'configuration' | 'publish' | 'status'>;

/** Publishes the change from the set in force to the set that `chooseSet` returns for it. */
export async function publishSet(
  client: PublishingClient,
  id: string,
  chooseSet: (inForce: ObjectSet) => Result<ObjectSet, ServiceError>,
): Promise<Result<PublishAnswer, ServiceError>> {
  const current = await client.configuration();
  if (current.isErr) {
    return Result.err(current.error);
  }
  const before = ObjectSet.of(current.value.objects);
  const next = chooseSet(before);
  if (next.isErr) {
    return Result.err(next.error);
  }
  const published = await client.publish(id, current.value.offset, before.difference(next.value));
  if (published.isOk || published.error.kind !== ErrorKind.Conflict) {
    return published;
  }
  const winner = await client.configuration();
  return winner.isErr
    ? published
    : Result.err(
        lostRaceConflict(published.error, before.difference(ObjectSet.of(winner.value.objects))),
      );
}

/**
 * Waits until an offset is in force on every live node, at most `waitMs`. Returns the last rollout
 * found, which lists the nodes that are still behind.
 */
export async function awaitRollout(
  client: PublishingClient,
  clock: Clock,
  offset: number,
  waitMs: number,
): Promise<Result<Rollout, ServiceError>> {
  const endsAt = clock.now() + waitMs;
  for (;;) {
    const status = await client.status();
    const rollout = status.map(({ members }) => rolloutOf(members, offset));
    const isComplete = rollout.isOk && rollout.value.laggards.length === 0;
    if (isComplete || clock.now() >= endsAt) {
      return rollout;
    }
    await clock.sleep(POLL_MS);
  }
}

/** Describes a change, one line per object. */
export function describeChange({ removals, upserts }: ObjectChange): readonly string[] {
  return [
    ...upserts.map((each) => `+ ${objectKey(each)}`),
    ...removals.map((each) => `- ${objectKey(each)}`),
  ];
}

/** Returns the conflict of a lost race, with the change that won as its findings. */
export function lostRaceConflict(conflict: ServiceError, change: ObjectChange): ServiceError {
  return new ServiceError(ErrorKind.Conflict, conflict.message, {
    remedy: 'review the changes listed, then publish again',
    notRun: NotRun.True,
    findings: describeChange(change),
    cause: conflict,
  });
}
