/**
 * Checkpoints: the whole set in force, written to the stream in parts, so that a reader that starts
 * after older records expired can still learn it. Any node may write one; writing it twice changes
 * nothing.
 */
import * as z from 'zod';
import { type InForce, RecordKind } from './ConfigurationRule.js';
import { type ConfigurationObject, objectSchema } from './Objects.js';
import { canonicalJson, ObjectSet } from './ObjectSet.js';

/** Most characters of objects in one part, well below what a log takes in a record. */
const PART_CHARACTERS = 100_000;
/** Unfinished checkpoints kept while reading. */
const MAX_UNFINISHED = 8;

export const checkpointRecordSchema = z.strictObject({
  record: z.literal(RecordKind.Checkpoint),
  id: z.string(),
  /** Offset of the change that the set belongs to. */
  of: z.number().int(),
  digest: z.string(),
  /** In the first part, the remembered ids; a reader without them would judge repeated records otherwise. */
  ids: z.array(z.string()),
  index: z.number().int().min(0),
  count: z.number().int().min(1),
  objects: z.array(objectSchema),
});

/** One part of a checkpoint. */
export type CheckpointRecord = z.infer<typeof checkpointRecordSchema>;

/** The payloads of all parts of a checkpoint. */
export function encodeCheckpoint(id: string, inForce: InForce): readonly string[] {
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

/** Puts parts together as they are read. */
export class CheckpointAssembler {
  private readonly _parts = new Map<string, Map<number, CheckpointRecord>>();

  /** Takes a payload; answers what is in force by a checkpoint once its last part is in. */
  public take(payload: string): InForce | undefined {
    const part = parsePart(payload);
    if (part === undefined) {
      return undefined;
    }
    const parts = this._parts.get(part.id) ?? new Map<number, CheckpointRecord>();
    parts.set(part.index, part);
    this._parts.set(part.id, parts);
    this._dropOldest();
    if (parts.size < part.count) {
      return undefined;
    }
    this._parts.delete(part.id);
    const set = ObjectSet.of([...parts.values()].flatMap(({ objects }) => objects));
    const ids = parts.get(0)?.ids ?? [];
    return set.digest === part.digest ? { offset: part.of, set, ids } : undefined;
  }

  private _dropOldest(): void {
    const [oldest] = this._parts.keys();
    if (this._parts.size > MAX_UNFINISHED && oldest !== undefined) {
      this._parts.delete(oldest);
    }
  }
}

function splitObjects(objects: readonly ConfigurationObject[]): readonly ConfigurationObject[][] {
  const parts: ConfigurationObject[][] = [[]];
  let characters = 0;
  for (const object of objects) {
    const size = canonicalJson(object).length;
    if (characters > 0 && characters + size > PART_CHARACTERS) {
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
