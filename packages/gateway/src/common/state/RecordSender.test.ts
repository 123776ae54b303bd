import { ManualClock, SeededRandom } from '@tanagerdyke/kernel';
import { beforeEach, describe, expect, it } from 'vitest';
import { CopyAssembly } from './CopyAssembly.js';
import { KeyedTable } from './KeyedTable.js';
import { PIECE_BYTES, RecordSender } from './RecordSender.js';
import type { Piece, PieceResponse } from './RelayMessages.js';

const VALUE_BYTES = 100_000;
const MIN_RECEIVERS = 2;
const MAX_RECEIVERS = 8;

describe('RecordSender', () => {
  const random = new SeededRandom(1);
  let clock: ManualClock;
  let table: KeyedTable;
  let sender: RecordSender;
  let queuedBytes: number;

  beforeEach(() => {
    clock = new ManualClock();
    table = new KeyedTable('topic');
    table.applySnapshot({ epoch: 1, records: [], end: 0 });
    write();
    queuedBytes = 0;
    sender = createSender();
  });

  function createSender(): RecordSender {
    return new RecordSender(clock, table, () => queuedBytes);
  }

  /** Writes the next record, of bytes that do not compress. */
  function write(): void {
    const value = Buffer.from(Array.from({ length: VALUE_BYTES }, () => random.integer(256)));
    table.apply([{ key: 'a', offset: table.end, value }], table.end + 1);
  }

  function begin(peer: string): PieceResponse {
    return sender.respond(peer, 0, { start: 0 });
  }

  function pieceOf(response: PieceResponse): Piece {
    if (response.piece === undefined) {
      throw new Error('no piece');
    }
    return response.piece;
  }

  /** Receives all pieces and confirms them. */
  function receive(peer: string, first = pieceOf(begin(peer))): CopyAssembly {
    const { digest, total } = first;
    const assembly = new CopyAssembly(digest, total);
    assembly.add(first);
    while (!assembly.isComplete) {
      assembly.add(pieceOf(sender.respond(peer, 0, { digest, start: assembly.received })));
    }
    sender.respond(peer, 0, { digest, start: total });
    return assembly;
  }

  it('sends pieces of bounded length that make up the records', () => {
    const first = pieceOf(begin('p'));
    expect(Buffer.from(first.data, 'base64')).toHaveLength(PIECE_BYTES);
    const copy = receive('p', first).decode().unwrapOr(undefined);
    expect(copy).toMatchObject({ epoch: 1, end: 1, isKnown: true, earlier: [] });
    expect(copy?.records[0]?.value).toEqual(table.find('a')?.value);
  });

  it('ends a copy that was begun, though the table has changed since', () => {
    const first = pieceOf(begin('p'));
    write();
    expect(receive('p', first).decode().unwrapOr(undefined)?.end).toBe(1);
    expect(receive('p').decode().unwrapOr(undefined)?.end).toBe(2);
  });

  it('continues a copy that another sender began', () => {
    const { digest } = pieceOf(begin('p'));
    const other = createSender();
    const piece = pieceOf(other.respond('p', 0, { digest, start: PIECE_BYTES }));
    expect(piece).toMatchObject({ digest, start: PIECE_BYTES });
  });

  it('begins anew when it does not have the copy any more', () => {
    const { digest } = pieceOf(begin('p'));
    for (let version = 0; version < 6; version++) {
      write();
      begin('p');
    }
    const piece = pieceOf(sender.respond('p', 0, { digest, start: PIECE_BYTES }));
    expect(piece.start).toBe(0);
    expect(piece.digest).not.toBe(digest);
  });

  it('serves more receivers while nothing waits to be sent', () => {
    for (let index = 0; index < MAX_RECEIVERS; index++) {
      expect(begin(`p${index}`).piece).toBeDefined();
    }
    expect(begin('late').busy).toBeDefined();
  });

  describe('with as many receivers as it serves while bytes wait to be sent', () => {
    beforeEach(() => {
      queuedBytes = 1;
      for (let index = 0; index < MIN_RECEIVERS; index++) {
        begin(`p${index}`);
      }
    });

    it('refuses a further one', () => {
      expect(begin('late')).toEqual({ busy: { sources: [], epoch: 1, end: 1 } });
    });

    it('names those that have all when it refuses', () => {
      receive('p0');
      begin('p0-follower');
      expect(begin('late')).toEqual({ busy: { sources: ['p0'], epoch: 1, end: 1 } });
    });

    it('states what those have that received an earlier copy', () => {
      receive('p0');
      write();
      begin('p0-follower');
      expect(begin('late')).toEqual({ busy: { sources: ['p0'], epoch: 1, end: 1 } });
    });

    it('serves a further one after one has confirmed', () => {
      receive('p0');
      expect(begin('late').piece).toBeDefined();
    });

    it('serves a further one after one has stopped asking', async () => {
      await clock.advance(600);
      expect(begin('late').piece).toBeDefined();
    });

    it('goes on serving those it has begun with', () => {
      expect(begin('p1').piece).toBeDefined();
    });
  });
});

describe('CopyAssembly', () => {
  const piece = (start: number, data: string): Piece => ({
    ...{ digest: 'd', start, total: 4 },
    data: Buffer.from(data).toString('base64'),
  });

  it('takes pieces in order, each once', () => {
    const assembly = new CopyAssembly('d', 4);
    expect(assembly.add(piece(2, 'cd'))).toBe(false);
    expect(assembly.add(piece(0, 'ab'))).toBe(true);
    expect(assembly.add(piece(0, 'ab'))).toBe(false);
    expect(assembly.add({ ...piece(2, 'cd'), digest: 'e' })).toBe(false);
    expect(assembly.add(piece(2, ''))).toBe(false);
    expect(assembly.isComplete).toBe(false);
    expect(assembly.add(piece(2, 'cd'))).toBe(true);
    expect(assembly.isComplete).toBe(true);
  });

  it('returns an error for bytes that are not those of the digest', () => {
    const assembly = new CopyAssembly('d', 2);
    assembly.add({ ...piece(0, 'ab'), total: 2 });
    expect(assembly.decode().isErr).toBe(true);
  });
});
