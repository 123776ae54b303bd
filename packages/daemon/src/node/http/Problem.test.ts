/** Tests of problem documents, and that the operators' page explains each kind of error. */
import { readFileSync } from 'node:fs';
import { ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { problemResponse, STATUS_OF_KIND } from './Problem.js';

const PAGE = new URL('../../../../../docs/operators/errors.md', import.meta.url);

describe('problemResponse', () => {
  it('contains kind, remedy, notRun and the retry time', async () => {
    const details = { remedy: 'wait', notRun: NotRun.True, retryAfterMs: 1_200 };
    const response = problemResponse(new ServiceError(ErrorKind.Overloaded, 'full', details));
    expect(response.status).toBe(503);
    expect(response.headers.get('retry-after')).toBe('2');
    expect(await response.json()).toMatchObject({ ...details, kind: 'overloaded', detail: 'full' });
  });
});

describe('docs/operators/errors.md', () => {
  const rows = readFileSync(PAGE, 'utf8').split('\n');

  it.each(Object.values(ErrorKind))('lists %s with its status, meaning and remedy', (kind) => {
    const row = rows.find((each) => each.startsWith(`| \`${kind}\` `));
    const [, , status, meaning, remedy] = (row ?? '').split('|').map((each) => each.trim());
    expect(status).toContain(String(STATUS_OF_KIND[kind]));
    expect(meaning?.length).toBeGreaterThan(0);
    expect(remedy?.length).toBeGreaterThan(0);
  });
});
