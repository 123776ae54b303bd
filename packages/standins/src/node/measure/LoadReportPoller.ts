/** Polls the engines' own load reports, which are published with a delay, for the baselines. */
import type { Clock } from '@tanagerdyke/kernel';
import type { TargetDirectory } from '@tanagerdyke/serving';
import type { LoadSource } from '../../common/measure/BaselinePolicies.js';

const POLL_INTERVAL_MS = 500;

/** Keeps the queue length that each engine last reported. */
export class LoadReportPoller implements LoadSource {
  private readonly _queued = new Map<string, number>();

  public queuedPrefillTokens(target: string): number {
    return this._queued.get(target) ?? 0;
  }

  /** Polls all engines periodically until the process ends. */
  public async run(clock: Clock, directory: TargetDirectory): Promise<never> {
    for (;;) {
      await Promise.all(
        directory.engines.map((hostedTarget) => this._poll(directory, hostedTarget)),
      );
      await clock.sleep(POLL_INTERVAL_MS);
    }
  }

  private async _poll(
    directory: TargetDirectory,
    { target }: TargetDirectory['engines'][number],
  ): Promise<void> {
    const engine = directory.engine(target);
    if (engine.isErr) {
      return;
    }
    const report = await engine.value.load();
    if (report.isOk) {
      this._queued.set(target.name, report.value.queuedPrefillTokens);
    }
  }
}
