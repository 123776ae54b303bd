/** What all callers of a node together may use, derived from the memory and descriptors of its host. */
import type { GatewaySettings } from '../GatewaySettings.js';

const MIB = 1024 * 1024;
/** Memory of a process that serves ordinary callers, with the garbage of a busy one. */
const PROCESS_BYTES = 130_000_000;
/** Share of the rest that is counted; Buffers that nobody holds stay resident until V8 collects them. */
const COUNTED_SHARE = 0.5;
const MIN_MEMORY_BYTES = 24 * MIB;
const MAX_MEMORY_BYTES = 192 * MIB;
/** Bodies of callers that hold much leave this share of the memory to all others. */
const LARGE_SHARE = 0.75;
/** Generous, as a crowd of ordinary callers may have one key or come from one address. */
const CALLER_SHARE = 0.75;
/** The share of one connection; at least the largest legal body, received and then put together. */
const CONNECTION_SHARE = 0.25;
const MIN_CONNECTION_BYTES = 10 * MIB;
/** Large answers of targets that are being buffered; at least one of the largest size. */
const ANSWER_SHARE = 0.25;
const MIN_ANSWER_BYTES = 16 * MIB;
const MAX_ANSWER_BYTES = 32 * MIB;
/** Host memory for each connection that is allowed; an open one takes some 30 kB of it. */
const HOST_BYTES_PER_CONNECTION = 160_000;
/** Share of the descriptors for callers; targets, peers and the store need the others. */
const DESCRIPTOR_SHARE = 0.5;
const CONTROL_DESCRIPTOR_SHARE = 1 / 16;
const MAX_CONTROL_CONNECTIONS = 256;
/** Above this share of the host's memory, large bodies are refused whatever is counted. */
const RESIDENT_SHARE = 0.88;

/** Connections that are open at the same time. */
export interface ConnectionLimits {
  readonly all: number;
  readonly fromAddress: number;
}

/** Bytes that are held for callers. */
export interface CallerMemoryLimits {
  /** All bytes. */
  readonly bytes: number;
  /** Bytes of the requests that hold much. */
  readonly largeBytes: number;
  readonly callerBytes: number;
  readonly connectionBytes: number;
  /** Resident memory of the process from which large bodies are refused. */
  readonly residentBytes: number;
}

export interface CallerLimits {
  readonly memory: CallerMemoryLimits;
  /** Large answers of targets that are being buffered. */
  readonly answerBytes: number;
  /** Memory of the process; more ends it. */
  readonly hostBytes: number;
  readonly front: ConnectionLimits;
  readonly control: ConnectionLimits;
}

export function callerLimits({
  maxDescriptors,
  memoryBytes,
}: Pick<GatewaySettings, 'maxDescriptors' | 'memoryBytes'>): CallerLimits {
  const free = (memoryBytes - PROCESS_BYTES) * COUNTED_SHARE;
  const bytes = Math.round(between(MIN_MEMORY_BYTES, free, MAX_MEMORY_BYTES));
  const front = Math.min(
    maxDescriptors * DESCRIPTOR_SHARE,
    memoryBytes / HOST_BYTES_PER_CONNECTION,
  );
  return {
    memory: {
      bytes,
      largeBytes: bytes * LARGE_SHARE,
      callerBytes: bytes * CALLER_SHARE,
      connectionBytes: Math.max(MIN_CONNECTION_BYTES, bytes * CONNECTION_SHARE),
      residentBytes: memoryBytes * RESIDENT_SHARE,
    },
    answerBytes: between(MIN_ANSWER_BYTES, bytes * ANSWER_SHARE, MAX_ANSWER_BYTES),
    hostBytes: memoryBytes,
    front: connectionLimits(front),
    control: connectionLimits(
      Math.min(maxDescriptors * CONTROL_DESCRIPTOR_SHARE, MAX_CONTROL_CONNECTIONS),
    ),
  };
}

function connectionLimits(all: number): ConnectionLimits {
  return { all: Math.floor(all), fromAddress: Math.floor(all * CALLER_SHARE) };
}

function between(least: number, value: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}
