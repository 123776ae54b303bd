/** Tests of child processes, with real ones. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { existsSync, mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';

const BUILD = join(import.meta.dirname, '..', '..', 'dist', 'node');

/** A program that starts a child, prints its process id and waits. */
function writeProgram(): string {
  const directory = mkdtempSync(join(tmpdir(), 'tanager-children-'));
  const child = join(directory, 'child.mjs');
  writeFileSync(child, 'setInterval(() => undefined, 1000);');
  const program = join(directory, 'program.mjs');
  writeFileSync(
    program,
    `import { ManagedProcess } from ${JSON.stringify(join(BUILD, 'ManagedProcess.js'))};
     import { exitOnSignal } from ${JSON.stringify(join(BUILD, 'ExitOnSignal.js'))};
     exitOnSignal(1);
     const child = new ManagedProcess('child', ${JSON.stringify(child)}, [], {}, ${JSON.stringify(join(directory, 'log'))});
     child.start();
     console.log(child.pid);
     setInterval(() => undefined, 1000);`,
  );
  return program;
}

/** A process that has ended and that nobody waits for has no command line. */
function isRunning(pid: number): boolean {
  const file = `/proc/${pid}/cmdline`;
  return existsSync(file) && readFileSync(file, 'utf8') !== '';
}

describe('ManagedProcess', () => {
  // Guards against children that stay when their program gets a second signal.
  it.each([
    ['SIGINT', 'SIGINT'],
    ['SIGTERM', 'SIGINT'],
    ['SIGHUP', 'SIGTERM'],
  ] as const)('leaves no child behind after %s and %s', async (first, second) => {
    const program = spawn(process.execPath, [writeProgram()], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const [line] = (await once(program.stdout, 'data')) as [Buffer];
    const exited = once(program, 'exit');
    program.kill(first);
    program.kill(second);
    await exited;
    await expect.poll(() => isRunning(Number(line.toString()))).toBe(false);
  });
});
