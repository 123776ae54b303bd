/** Tests of ending a process on uncaught errors. */
import { EventEmitter } from 'node:events';
import type { Fields, Logger } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { EXIT_UNCAUGHT_ERROR, exitOnUncaughtErrors } from './UncaughtErrors.js';

describe('exitOnUncaughtErrors', () => {
  it.each(['uncaughtException', 'unhandledRejection'])('logs and exits on %s', (event) => {
    const source = new EventEmitter();
    const logged: (Fields | undefined)[] = [];
    const codes: number[] = [];
    const logger: Logger = { log: (_level, _message, fields) => logged.push(fields) };
    exitOnUncaughtErrors(source, logger, (code) => codes.push(code));
    source.emit(event, new Error('a broken promise'));
    expect(codes).toEqual([EXIT_UNCAUGHT_ERROR]);
    expect(logged[0]?.stack).toContain('a broken promise');
  });
});
