/**
 * Shares among all nodes which targets state that they are leaving. Load pattern: a target leaves
 * while its entry still says that it accepts requests, and each node sends it requests until it has
 * received an answer of its own.
 */
import { DisposableOwner } from '@tanagerdyke/kernel';
import { encodeNotification, notificationParser, type ZoneBroadcast } from '@tanagerdyke/mesh';
import type { TargetInstance, TargetTable } from './TargetTable.js';

const LEAVING_METHOD = 'target.leaving';

const parseLeaving = notificationParser(LEAVING_METHOD, parseInstance);

export interface LeavingReportsOptions {
  readonly broadcast: ZoneBroadcast;
  readonly targets: TargetTable;
}

/** Broadcasts the statements that this node receives, and applies those of the others. */
export class LeavingReports extends DisposableOwner {
  constructor({ broadcast, targets }: LeavingReportsOptions) {
    super();
    this.register(
      targets.onLeaving(({ id, startedAt }) => {
        broadcast.send(encodeNotification(LEAVING_METHOD, { id, startedAt: startedAt ?? null }));
      }),
    );
    this.register(
      broadcast.onMessage((payload) => {
        const instance = parseLeaving(payload);
        if (instance !== undefined) {
          targets.applyLeaving(instance);
        }
      }),
    );
  }
}

/** Validates a received report; returns `undefined` when it is malformed. */
function parseInstance(params: unknown): TargetInstance | undefined {
  const { id, startedAt } = (params ?? {}) as Readonly<Record<string, unknown>>;
  const isStart = startedAt === null || typeof startedAt === 'number';
  return typeof id === 'string' && isStart ? { id, startedAt: startedAt ?? undefined } : undefined;
}
