import { describe, expect, it } from 'vitest';
import { fingerprintsOf, isFingerprint, type RequestContent } from './RequestFingerprint.js';

const CALL: RequestContent = {
  method: 'POST',
  path: '/a/1?x=2',
  body: Buffer.from('body'),
  workspace: 'w',
  parts: [],
};

describe('fingerprintsOf', () => {
  it('is the same for the same content', () => {
    expect(fingerprintsOf({ ...CALL, body: Buffer.from('body') })).toEqual(fingerprintsOf(CALL));
  });

  it.each([
    ['method', { method: 'PUT' }],
    ['path', { path: '/a/1' }],
    ['body', { body: Buffer.from('bodx') }],
    ['workspace', { workspace: 'v' }],
    ['workspace that is missing', { workspace: undefined }],
    ['end of the path that begins the body', { path: '/a/1?x=', body: Buffer.from('2body') }],
  ])('differs with another %s', (_name, change) => {
    expect(fingerprintsOf({ ...CALL, ...change })).not.toEqual(fingerprintsOf(CALL));
  });

  describe('of a prompt', () => {
    const [content, prompt] = fingerprintsOf({ ...CALL, parts: ['p', 'q'] });

    it('is that of its content, and another one with its parts', () => {
      expect([content]).toEqual(fingerprintsOf(CALL));
      expect(fingerprintsOf({ ...CALL, parts: ['p', 'r'] })[0]).toBe(content);
      expect(fingerprintsOf({ ...CALL, parts: ['p', 'r'] })[1]).not.toBe(prompt);
    });
  });

  it('is told apart from the id of a part', () => {
    expect(fingerprintsOf(CALL).every(isFingerprint)).toBe(true);
    expect(isFingerprint('5c1e07a2')).toBe(false);
  });
});
