/**
 * Shares failures of targets among all nodes. Load pattern: a target resets or silences requests
 * while its entry still says that it accepts them. Without reports, each node of a large fleet sends
 * it requests until they failed there, and calls that may not be repeated are lost.
 */
import { DisposableOwner } from '@tanagerdyke/kernel';
import { encodeNotification, notificationParser, type ZoneBroadcast } from '@tanagerdyke/mesh';
import type { TargetHealth } from './TargetHealth.js';

const FAILURE_METHOD = 'target.failed';

/** A failure as it is broadcast. */
interface FailureReport {
  readonly node: string;
  readonly target: string;
}

const parseReport = notificationParser(FAILURE_METHOD, parseFailureReport);

export interface FailureReportsOptions {
  readonly broadcast: ZoneBroadcast;
  readonly health: TargetHealth;
  /** Name of this node. */
  readonly node: string;
}

/** Broadcasts the failures that this node sees and records those of the others. */
export class FailureReports extends DisposableOwner {
  constructor({ broadcast, health, node }: FailureReportsOptions) {
    super();
    this.register(
      health.onFailure((target) => {
        broadcast.send(encodeNotification(FAILURE_METHOD, { node, target }));
      }),
    );
    this.register(
      broadcast.onMessage((payload) => {
        const report = parseReport(payload);
        if (report !== undefined && report.node !== node) {
          health.recordReport(report.target, report.node);
        }
      }),
    );
  }
}

/** Validates a received report; returns `undefined` when it is malformed. */
function parseFailureReport(params: unknown): FailureReport | undefined {
  const { node, target } = (params ?? {}) as Partial<Record<keyof FailureReport, unknown>>;
  return typeof node === 'string' && typeof target === 'string' ? { node, target } : undefined;
}
