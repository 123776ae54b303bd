/** Guards against a process that ends when its standard output or standard error fails. */
import { EventEmitter } from 'node:events';
import { describe, expect, it } from 'vitest';
import { onOutputFailure, type OutputFailure } from './OutputFailures.js';

describe('onOutputFailure', () => {
  it('reports each failed write with its stream and the code of the system', () => {
    const streams = { stdout: new EventEmitter(), stderr: new EventEmitter() };
    const failures: OutputFailure[] = [];
    onOutputFailure((failure) => failures.push(failure), streams);
    streams.stdout.emit('error', Object.assign(new Error('write EPIPE'), { code: 'EPIPE' }));
    streams.stderr.emit('error', Object.assign(new Error('write ENOSPC'), { code: 'ENOSPC' }));
    streams.stderr.emit('error', new Error('other'));
    expect(failures).toEqual([
      { stream: 'stdout', code: 'EPIPE' },
      { stream: 'stderr', code: 'ENOSPC' },
      { stream: 'stderr', code: 'unknown' },
    ]);
  });
});
