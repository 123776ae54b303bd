/**
 * Encoding of the records of a topic for the way between nodes: a header with keys, offsets and
 * lengths, then the values, all compressed. Values are JSON text, of which a configuration repeats
 * the same words for each route, so the encoded form has a small part of their size.
 */
import { createHash } from 'node:crypto';
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { describeCause, ErrorKind, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import * as z from 'zod';
import type { KeyedRecord } from '../services/Services.js';
import type { EpochRecord } from './KeyedTable.js';

/** Records of a topic up to an end offset. */
export interface RecordSet {
  readonly epoch: number;
  readonly end: number;
  /** Whether the table of the sender holds a snapshot. */
  readonly isKnown: boolean;
  readonly records: readonly KeyedRecord[];
  /** Records of earlier epochs that are still valid. */
  readonly earlier: readonly EpochRecord[];
}

const LENGTH_BYTES = 4;
/** A fast level; the processors of small hosts are scarcer than the last tenth of size. */
const COMPRESSION_LEVEL = 3;
/** Several times the largest topic; a larger one is malformed. */
const MAX_DECODED_BYTES = 64 * 1024 * 1024;
const DIGEST_LENGTH = 16;

/** Length of a value in bytes; null for the removal of a key. */
const lengthSchema = z.number().int().nonnegative().nullable();

const headerSchema = z.object({
  epoch: z.number().int(),
  end: z.number().int(),
  isKnown: z.boolean(),
  records: z.array(z.tuple([z.string(), z.number().int(), lengthSchema])),
  earlier: z.array(z.tuple([z.string(), z.number().int(), z.number().int(), lengthSchema])),
});

export function encodeRecordSet({ earlier, records, ...position }: RecordSet): Buffer {
  const header = JSON.stringify({
    ...position,
    records: records.map(({ key, offset, value }) => [key, offset, value?.length ?? null]),
    earlier: earlier.map((each) => [each.key, each.epoch, each.offset, each.value?.length ?? null]),
  });
  const headerBytes = Buffer.from(header);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(headerBytes.length);
  const values = [...records, ...earlier].flatMap(({ value }) => value ?? []);
  const plain = Buffer.concat([length, headerBytes, ...values]);
  return deflateRawSync(plain, { level: COMPRESSION_LEVEL });
}

/** Errors: `BadRequest` when the bytes are not an encoded set of records. */
export function decodeRecordSet(bytes: Buffer): Result<RecordSet, ServiceError> {
  try {
    const plain = inflateRawSync(bytes, { maxOutputLength: MAX_DECODED_BYTES });
    let at = LENGTH_BYTES + plain.readUInt32BE(0);
    const header: unknown = JSON.parse(plain.subarray(LENGTH_BYTES, at).toString('utf8'));
    const { earlier, records, ...position } = headerSchema.parse(header);
    const take = (length: number | null): Buffer | undefined => {
      at += length ?? 0;
      return length === null ? undefined : plain.subarray(at - length, at);
    };
    const set = {
      ...position,
      records: records.map(([key, offset, length]) => ({ key, offset, value: take(length) })),
      earlier: earlier.map(([key, epoch, offset, length]) => ({
        ...{ key, epoch, offset },
        value: take(length),
      })),
    };
    return at === plain.length ? Result.ok(set) : Result.err(malformed('its length is wrong'));
  } catch (error) {
    return Result.err(malformed(describeCause(error)));
  }
}

/** Identifies the encoded records. */
export function digestOf(bytes: Buffer): string {
  return createHash('sha256').update(bytes).digest('base64url').slice(0, DIGEST_LENGTH);
}

function malformed(detail: string): ServiceError {
  return new ServiceError(ErrorKind.BadRequest, `malformed records: ${detail}`, {
    remedy: 'none needed; they are fetched from another peer',
  });
}
