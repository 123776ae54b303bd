/**
 * Measures the costs of a configuration with a given number of workspaces: its size in bytes, the
 * time to check all objects, to apply one change record and to replay a checkpoint as at start, and
 * memory.
 */
import {
  applyRecord,
  canonicalJson,
  CheckpointAssembler,
  checkObjects,
  CONFIGURATION_SCHEMA,
  encodeChange,
  encodeCheckpoint,
  type ConfigurationInForce,
  ObjectSet,
  RecordKind,
} from '@tanagerdyke/configuration';
import { type Clock, SystemClock } from '@tanagerdyke/kernel';
import {
  createConfigurationObjects,
  PLANNED_SIZE,
  range,
  createWorkspace,
} from '../../common/capacity/CapacityObjects.js';
import { median } from '../../common/capacity/Series.js';
import { retainedBytes } from './RetainedBytes.js';

const REPETITIONS = 9;
const BYTES_PER_MB = 1_048_576;

/** The costs of a configuration of one size. */
export interface SetCosts {
  readonly workspaces: number;
  readonly setBytes: number;
  readonly changeBytes: number;
  readonly checkMs: number;
  readonly applyMs: number;
  readonly replayMs: number;
  readonly checkpointParts: number;
  readonly memoryMb: number;
}

/** Measures a configuration with the planned number of servers. */
export function measureSet(workspaces: number): SetCosts {
  const clock = new SystemClock();
  const objects = createConfigurationObjects({ ...PLANNED_SIZE, workspaces });
  const set = ObjectSet.of(objects);
  const inForce: ConfigurationInForce = { offset: 0, set, ids: [] };
  const parts = encodeCheckpoint('capacity', inForce);
  const change = encodeWorkspaceChange(set);
  return {
    workspaces,
    setBytes: Buffer.byteLength(canonicalJson(objects)),
    changeBytes: Buffer.byteLength(change),
    checkMs: medianTimeMs(clock, () => checkObjects(set)),
    applyMs: medianTimeMs(clock, () => applyRecord(inForce, 1, change)),
    replayMs: medianTimeMs(clock, () => replay(parts)),
    checkpointParts: parts.length,
    memoryMb: retainedBytes(() => replay(parts)) / BYTES_PER_MB,
  };
}

function encodeWorkspaceChange(set: ObjectSet): string {
  const upserts = [createWorkspace(0, PLANNED_SIZE.models, 1)];
  return encodeChange({
    record: RecordKind.Change,
    id: 'capacity-change',
    base: 0,
    baseDigest: set.digest,
    schema: CONFIGURATION_SCHEMA,
    upserts,
    removals: [],
    digest: set.with(upserts, []).digest,
  });
}

function replay(parts: readonly string[]): ConfigurationInForce | undefined {
  const assembler = new CheckpointAssembler();
  let inForce: ConfigurationInForce | undefined;
  for (const part of parts) {
    inForce = assembler.add(part) ?? inForce;
  }
  return inForce;
}

function medianTimeMs(clock: Clock, action: () => unknown): number {
  const timesMs = range(REPETITIONS).map(() => {
    const startedAt = clock.now();
    action();
    return clock.now() - startedAt;
  });
  return median(timesMs);
}
