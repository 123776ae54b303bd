/**
 * Checkpoints hold the whole set in force and are written to the stream in parts, so that a reader
 * that starts after older records expired can still obtain the set. Any node may write one; a
 * duplicate has no effect.
 */
import * as z from 'zod';
import { type ConfigurationInForce, RecordKind } from './ConfigurationRule.js';
import { type ConfigurationObject, objectSchema } from './Objects.js';
import { canonicalJson, ObjectSet } from './ObjectSet.js';

/** Size limit of the objects in one part, well below the record size limit of a log. */
const MAX_PART_CHARACTERS = 100_000;
/** Incomplete checkpoints kept while reading; beyond this the oldest is evicted. */
const MAX_INCOMPLETE_CHECKPOINTS = 8;

export const checkpointRecordSchema = z.strictObject({
  record: z.literal(RecordKind.Checkpoint),
  id: z.string(),
  /** Offset of the change that produced the set. */
  of: z.number().int(),
  digest: z.string(),
  /**
   * Ids of recent effective records; only in the first part. Without them a reader could apply a
   * repeated record that other readers ignore.
   */
  ids: z.array(z.string()),
  /** Position of this part, from 0. */
  index: z.number().int().min(0),
  /** Number of parts of the checkpoint. */
  count: z.number().int().min(1),
  objects: z.array(objectSchema),
});

/** One part of a checkpoint. */
export type CheckpointRecord = z.infer<typeof checkpointRecordSchema>;

/** Serialises a checkpoint as the payloads of its parts. */
export function encodeCheckpoint(id: string, inForce: ConfigurationInForce): readonly string[] {
  const parts = splitObjects(inForce.set.objects);
  return parts.map((objects, index) =>
    canonicalJson({
      record: RecordKind.Checkpoint,
      id,
      of: inForce.offset,
      digest: inForce.set.digest,
      ids: index === 0 ? [...inForce.ids] : [],
      index,
      count: parts.length,
      objects,
    } satisfies CheckpointRecord),
  );
}

/** Assembles checkpoints from their parts, in any order. */
export class CheckpointAssembler {
  private readonly _partsById = new Map<string, Map<number, CheckpointRecord>>();

  /**
   * Adds a payload if it is a part of a checkpoint. Returns the configuration once the checkpoint
   * is complete and its digest matches.
   */
  public add(payload: string): ConfigurationInForce | undefined {
    const part = parsePart(payload);
    if (part === undefined) {
      return undefined;
    }
    const parts = this._partsById.get(part.id) ?? new Map<number, CheckpointRecord>();
    parts.set(part.index, part);
    this._partsById.set(part.id, parts);
    this._evictOldest();
    if (parts.size < part.count) {
      return undefined;
    }
    this._partsById.delete(part.id);
    const set = ObjectSet.of([...parts.values()].flatMap(({ objects }) => objects));
    const ids = parts.get(0)?.ids ?? [];
    return set.digest === part.digest ? { offset: part.of, set, ids } : undefined;
  }

  private _evictOldest(): void {
    const [oldest] = this._partsById.keys();
    if (this._partsById.size > MAX_INCOMPLETE_CHECKPOINTS && oldest !== undefined) {
      this._partsById.delete(oldest);
    }
  }
}

function splitObjects(objects: readonly ConfigurationObject[]): readonly ConfigurationObject[][] {
  const parts: ConfigurationObject[][] = [[]];
  let characters = 0;
  for (const object of objects) {
    const size = canonicalJson(object).length;
    if (characters > 0 && characters + size > MAX_PART_CHARACTERS) {
      parts.push([]);
      characters = 0;
    }
    parts.at(-1)?.push(object);
    characters += size;
  }
  return parts;
}

function parsePart(payload: string): CheckpointRecord | undefined {
  try {
    const parsed = checkpointRecordSchema.safeParse(JSON.parse(payload));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
