/** Shares among all nodes which targets of plain services have calls waiting, and for how long. */
import { DisposableOwner } from '@tanagerdyke/kernel';
import { encodeNotification, notificationParser, type ZoneBroadcast } from '@tanagerdyke/mesh';
import type { ServiceLoad, WaitReport } from './ServiceLoad.js';

const WAIT_METHOD = 'target.wait';

const parseWait = notificationParser(WAIT_METHOD, parseReport);

export interface ServiceLoadReportsOptions {
  readonly broadcast: ZoneBroadcast;
  readonly serviceLoad: ServiceLoad;
  /** Whether this node has a record of the target; reports of others are dropped. */
  readonly isKnown: (target: string) => boolean;
}

/** Broadcasts the waits that this node sees, and applies those that others report. */
export class ServiceLoadReports extends DisposableOwner {
  constructor({ broadcast, isKnown, serviceLoad }: ServiceLoadReportsOptions) {
    super();
    this.register(
      serviceLoad.onReport((report) => {
        const params = { ...report, waitMs: Math.round(report.waitMs) };
        broadcast.send(encodeNotification(WAIT_METHOD, params));
      }),
    );
    this.register(
      broadcast.onMessage((payload) => {
        const report = parseWait(payload);
        if (report !== undefined && isKnown(report.target)) {
          serviceLoad.applyReport(report);
        }
      }),
    );
  }
}

/** Validates a received report; returns `undefined` when it is malformed. */
function parseReport(params: unknown): WaitReport | undefined {
  const { isFull, target, waitMs } = (params ?? {}) as Readonly<Record<string, unknown>>;
  return typeof target === 'string' && typeof waitMs === 'number' && waitMs >= 0
    ? { target, waitMs, isFull: isFull === true }
    : undefined;
}
