/**
 * The child processes of a run. Signals go to the process that was started, by its pid, only. None
 * outlives the process that started it, however that ends, unless it is killed.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';

const running = new Set<ChildProcess>();
process.once('exit', () => {
  for (const child of running) {
    child.kill('SIGKILL');
  }
});

/** A Node.js script in a child process, which can be started again after it has ended. */
export class ManagedProcess {
  private _child: ChildProcess | undefined;
  private _hasExited = false;
  private _exitCode: number | null = null;

  constructor(
    public readonly name: string,
    private readonly _script: string,
    private readonly _arguments: readonly string[],
    private readonly _environment: Readonly<Record<string, string>>,
    private readonly _logFile: string,
  ) {}

  public get isRunning(): boolean {
    return this._child !== undefined && !this._hasExited;
  }

  /** The process id, while it runs. */
  public get pid(): number | undefined {
    return this.isRunning ? this._child?.pid : undefined;
  }

  /** The exit code of the last run that ended; `null` before that or when a signal ended it. */
  public get exitCode(): number | null {
    return this._exitCode;
  }

  public start(): void {
    const child = spawn(process.execPath, [this._script, ...this._arguments], {
      env: { ...process.env, ...this._environment },
      stdio: ['pipe', 'pipe', 'pipe'],
    });
    const output = createWriteStream(this._logFile, { flags: 'a' });
    child.stdout.pipe(output, { end: false });
    child.stderr.pipe(output, { end: false });
    this._hasExited = false;
    // Writing to a process that has just ended fails with EPIPE, which must not end the run.
    child.stdin.on('error', () => undefined);
    running.add(child);
    child.on('exit', (code) => {
      running.delete(child);
      if (this._child === child) {
        this._hasExited = true;
        this._exitCode = code;
      }
    });
    this._child = child;
  }

  /** Resolves when standard output contains `text` in one chunk; rejects if the process ends. */
  public waitForOutput(text: string): Promise<void> {
    const child = this._child;
    return new Promise((resolve, reject) => {
      child?.stdout?.on('data', (chunk: Buffer) => {
        if (chunk.toString('utf8').includes(text)) {
          resolve();
        }
      });
      child?.once('exit', (code) => {
        reject(
          new Error(`${this.name} ended with ${code ?? 'a signal'}; its log is ${this._logFile}`),
        );
      });
    });
  }

  /** Writes one line to the standard input of the process if it runs. */
  public writeLine(line: string): void {
    if (this.isRunning) {
      this._child?.stdin?.write(`${line}\n`);
    }
  }

  /** Sends a signal if the process runs, for example to freeze it; doesn't wait. */
  public signal(signal: NodeJS.Signals): void {
    if (this.isRunning) {
      this._child?.kill(signal);
    }
  }

  /** Sends a signal and resolves when the process has ended. */
  public end(signal: NodeJS.Signals): Promise<void> {
    const child = this._child;
    if (child === undefined || !this.isRunning) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      child.once('exit', () => {
        resolve();
      });
      child.kill(signal);
    });
  }
}
