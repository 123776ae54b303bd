/**
 * The messages by which nodes exchange records of topics: how far each is, and the records that
 * another one lacks. Fields that nodes of earlier releases do not send are optional.
 */
import { notificationParser, schemaReader } from '@tanagerdyke/mesh';
import * as z from 'zod';
import type { KeyedRecord } from '../services/Services.js';
import type { KeyedTable } from './KeyedTable.js';

export const PROGRESS_METHOD = 'gateway.progress';
export const RECORDS_METHOD = 'gateway.records';

const progressSchema = z.object({
  from: z.string(),
  /** Whether the sender polls the platform and is connected to it, or a relay reports one. */
  inTouch: z.boolean(),
  /** Whether the sender is connected itself; a relay must not forward what a relay reports. */
  isDirect: z.boolean().optional(),
  /**
   * How long ago the sender was last known to have all records, in ms, if it is not current. Nodes of
   * earlier releases do not state it.
   */
  confirmedMs: z.number().nonnegative().optional(),
  /** Whether the sender recently observed an outage of the platform. */
  unsettled: z.boolean(),
  /** Name and end offset of each topic. */
  ends: z.array(z.tuple([z.string(), z.number().int()])),
  /** Epoch and digest of the earlier records of each topic; nodes of earlier releases send none. */
  epochs: z.array(z.tuple([z.number().int(), z.string()])).optional(),
});

export const parseProgress = notificationParser(PROGRESS_METHOD, schemaReader(progressSchema));

const pieceRequestSchema = z.object({
  /** The copy that the requester has the begin of; it has none without. */
  digest: z.string().optional(),
  /** Offset of the piece in the encoded copy. The end of the copy confirms that all has arrived. */
  start: z.number().int().nonnegative(),
});

const pieceSchema = z.object({
  digest: z.string(),
  start: z.number().int().nonnegative(),
  /** Length of the encoded copy. */
  total: z.number().int().positive(),
  /** Base64. */
  data: z.string(),
});

export const recordsRequestSchema = z.object({
  topic: z.string(),
  after: z.number().int(),
  /** Epoch of `after`; in any other one the whole table is requested. */
  epoch: z.number().int().optional(),
  /** Whether the platform does not answer the requester, so that the size is not limited. */
  isPlatformLost: z.boolean().optional(),
  /** Peer address of the requester. */
  from: z.string().optional(),
  /** The piece to send when the records are long; nodes of earlier releases ask for all at once. */
  piece: pieceRequestSchema.optional(),
});

export const recordsResponseSchema = z.object({
  end: z.number().int(),
  /** Whether the sender's table holds a snapshot. */
  isKnown: z.boolean(),
  /** Whether the records are left out, since they exceed the size limit. */
  isTooLong: z.boolean(),
  /** Key, offset and base64 value of each record; the value of a removed key is null. */
  records: z.array(z.tuple([z.string(), z.number().int(), z.string().nullable()])),
  /** Epoch of the records; nodes of earlier releases send none. */
  epoch: z.number().int().optional(),
  /** Key, epoch, offset and value of each record of an earlier epoch that is still valid. */
  earlier: z
    .array(z.tuple([z.string(), z.number().int(), z.number().int(), z.string().nullable()]))
    .default([]),
  /** A piece of an encoded copy, which has all records, in place of `records` and `earlier`. */
  piece: pieceSchema.optional(),
  /** The sender serves as many peers as it can; `sources` have the records up to `end`. */
  busy: z
    .object({ sources: z.array(z.string()), epoch: z.number().int(), end: z.number().int() })
    .optional(),
});

/** How far a peer is with a topic. */
export interface TopicProgress {
  readonly end: number;
  /** `undefined` for a node of an earlier release, which compares offsets of any epochs. */
  readonly epoch: number | undefined;
  readonly earlierDigest: string;
}

export type RecordsRequest = z.infer<typeof recordsRequestSchema>;
export type RecordsResponse = z.infer<typeof recordsResponseSchema>;
export type PieceRequest = z.infer<typeof pieceRequestSchema>;
export type Piece = z.infer<typeof pieceSchema>;
/** A piece, or the refusal to send one. */
export type PieceResponse = Pick<RecordsResponse, 'piece' | 'busy'>;

/** Whether a peer has records of a topic that the table lacks. */
export function isBehind(table: KeyedTable, { earlierDigest, end, epoch }: TopicProgress): boolean {
  if (epoch !== undefined && epoch !== table.epoch) {
    return epoch > table.epoch;
  }
  return end > table.end || (earlierDigest !== '' && earlierDigest !== table.earlierDigest);
}

export function encodeRecord({
  key,
  offset,
  value,
}: KeyedRecord): readonly [key: string, offset: number, value: string | null] {
  return [key, offset, value?.toString('base64') ?? null];
}

export function decodeRecord(key: string, offset: number, value: string | null): KeyedRecord {
  return { key, offset, value: value === null ? undefined : Buffer.from(value, 'base64') };
}
