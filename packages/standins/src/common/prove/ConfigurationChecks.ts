/**
 * Checks, from status samples of the daemons, that each accepted configuration change came into
 * force on every daemon in time and was never reverted.
 */
import { type Evidence, StandInRecordKind, type StatusSample } from './Evidence.js';

/** Time after the append of a change by which it must be in force on every ready daemon. */
export const IN_FORCE_BOUND_MS = 5_000;
const CONFIGURATION_STREAM = 'configuration';

/** Counts offset regressions, late changes, divergent sets and publishes that share a base. */
export function countConfigurationViolations(evidence: Evidence): number {
  return (
    countOffsetRegressions(evidence.samples) +
    countLateChanges(evidence) +
    countDivergentOffsets(evidence) +
    countSharedBases(evidence)
  );
}

/**
 * Counts samples of ready daemons with a lower offset than an earlier sample of the same node, also
 * if the earlier one is from before a restart.
 */
function countOffsetRegressions(samples: readonly StatusSample[]): number {
  const greatest = new Map<string, number>();
  let count = 0;
  for (const { node, offset, isReady } of samples) {
    const before = greatest.get(node) ?? offset;
    count += isReady && offset < before ? 1 : 0;
    greatest.set(node, Math.max(before, offset));
  }
  return count;
}

/**
 * Counts pairs of a node and an accepted change that was not in force while the node was ready,
 * more than `IN_FORCE_BOUND_MS` after the append of the change.
 */
function countLateChanges({ accepted, records, samples }: Evidence): number {
  const appendedAt = new Map<number, number>();
  for (const record of records) {
    if (record.kind === StandInRecordKind.Append && record.stream === CONFIGURATION_STREAM) {
      appendedAt.set(record.offset, record.at);
    }
  }
  const late = new Set<string>();
  for (const { offset } of accepted) {
    const since = appendedAt.get(offset) ?? Number.POSITIVE_INFINITY;
    for (const sample of samples) {
      if (sample.isReady && sample.offset < offset && sample.at > since + IN_FORCE_BOUND_MS) {
        late.add(`${sample.node}/${offset}`);
      }
    }
  }
  return late.size;
}

/** Counts offsets at which two daemons, or a daemon and the publisher, had different sets. */
function countDivergentOffsets({ accepted, samples }: Evidence): number {
  const digests = new Map<number, Set<string>>();
  for (const { offset, digest } of [...accepted, ...samples]) {
    digests.set(offset, (digests.get(offset) ?? new Set<string>()).add(digest));
  }
  return [...digests.values()].filter(({ size }) => size > 1).length;
}

/** Counts accepted publishes that were checked against the same base offset as another one. */
function countSharedBases({ accepted }: Evidence): number {
  return accepted.length - new Set(accepted.map(({ base }) => base)).size;
}
