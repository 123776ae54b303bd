/** Engines, services and platforms that stop in the middle of the head of an answer. */
import { BROKEN_HEAD_ENDINGS, BROKEN_HEADS, withBrokenHead } from '@tanagerdyke/fakes';
import { NotRun } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { sendRequest } from './HttpClient.js';

describe.each(BROKEN_HEAD_ENDINGS)('an answer that ends within its head and %s', (_how, end) => {
  it.each(BROKEN_HEADS)('is an error that leaves open what ran, %s', async (_where, head) => {
    const { signal } = new AbortController();
    const answer = await withBrokenHead(head, end, (address) =>
      sendRequest({ method: 'POST', url: `http://${address}/x`, body: '{}', signal }),
    );
    expect(answer.isErr && answer.error.notRun).toBe(NotRun.Unknown);
  });
});
