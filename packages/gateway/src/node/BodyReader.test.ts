import { IncomingMessage } from 'node:http';
import { Socket } from 'node:net';
import { ManualClock } from '@tanagerdyke/kernel';
import { beforeEach, describe, expect, it } from 'vitest';
import { callerLimits } from '../common/callers/CallerLimits.js';
import { type CallerHolding, CallerMemory, REQUEST_BYTES } from '../common/callers/CallerMemory.js';
import { BodyFailure, BodyReader, type BodyReception } from './BodyReader.js';

const MIB = 1024 * 1024;
const LIMIT_BYTES = 4 * MIB;
const SMALLEST_HOST = { memoryBytes: 202e6, maxDescriptors: 4_096 };

describe('BodyReader', () => {
  let clock: ManualClock;
  let memory: CallerMemory;
  let reader: BodyReader;
  let incoming: IncomingMessage;
  let holding: CallerHolding;
  let reception: BodyReception;
  let held: string[];

  beforeEach(() => {
    clock = new ManualClock();
    memory = new CallerMemory(callerLimits(SMALLEST_HOST).memory);
    reader = new BodyReader({ clock, memory });
    held = [];
    incoming = new IncomingMessage(new Socket());
    incoming.rawHeaders = ['Transfer-Encoding', 'chunked'];
    const owner = { caller: 'c', connection: incoming, close: () => undefined };
    holding = memory.open(owner, clock.now());
    reception = reader.open(incoming, holding, {
      close: () => undefined,
      hold: (reason) => held.push(reason),
    });
  });

  const read = () =>
    reception.read(LIMIT_BYTES, clock.now() + 60_000, new AbortController().signal);

  /** Lets the stream pass on what was pushed. */
  const settle = () => new Promise((resolve) => setImmediate(resolve));

  it('counts a body that waits until its request ends, with little waste', async () => {
    const result = read();
    for (let pushed = 0; pushed < 1_000; pushed++) {
      incoming.push(Buffer.alloc(1_000, 'x'));
    }
    incoming.push(null);
    const body = await result;
    expect(body.isOk && body.value.equals(Buffer.alloc(1_000_000, 'x'))).toBe(true);
    expect(memory.bytes).toBeGreaterThanOrEqual(1_000_000);
    expect(memory.bytes).toBeLessThan(1_300_000);
    memory.release(holding);
    expect(memory.bytes).toBe(0);
  });

  it('gives up a body in chunks of a byte, before their objects take much memory', async () => {
    const result = read();
    for (let pushed = 0; pushed < 2_000; pushed++) {
      incoming.push(Buffer.from('x'));
    }
    const body = await result;
    expect(body.isErr && body.error).toBe(BodyFailure.TooManyPieces);
    expect(held).toEqual([BodyFailure.TooManyPieces]);
    expect(memory.bytes).toBe(REQUEST_BYTES);
  });

  it('releases a body that stops short, once it made no progress for some seconds', async () => {
    const result = read();
    incoming.push(Buffer.alloc(MIB));
    await settle();
    reader.demandProgress(1_000);
    expect(memory.bytes).toBeGreaterThan(MIB);
    reader.demandProgress(3_000);
    const body = await result;
    expect(body.isErr && body.error).toBe(BodyFailure.TooSlow);
    expect(memory.bytes).toBe(REQUEST_BYTES);
  });
});
