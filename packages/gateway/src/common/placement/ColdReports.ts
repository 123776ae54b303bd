/**
 * Shares among all nodes which targets state in answers that they are cold, with the time that is
 * left, as the clocks of nodes differ. Each node reads the records of targets itself.
 */
import { DisposableOwner } from '@tanagerdyke/kernel';
import { encodeNotification, notificationParser, type ZoneBroadcast } from '@tanagerdyke/mesh';
import type { ColdStatement, ColdTargets } from './ColdTargets.js';

const COLD_METHOD = 'target.cold';

const parseCold = notificationParser(COLD_METHOD, parseStatement);

export interface ColdReportsOptions {
  readonly broadcast: ZoneBroadcast;
  readonly coldTargets: ColdTargets;
}

/** Broadcasts the statements that this node receives, and applies those of the others. */
export class ColdReports extends DisposableOwner {
  constructor({ broadcast, coldTargets }: ColdReportsOptions) {
    super();
    this.register(
      coldTargets.onStatement(({ id, leftMs, startedAt }) => {
        const params = { id, startedAt: startedAt ?? null, leftMs: Math.round(leftMs) };
        broadcast.send(encodeNotification(COLD_METHOD, params));
      }),
    );
    this.register(
      broadcast.onMessage((payload) => {
        const statement = parseCold(payload);
        if (statement !== undefined) {
          coldTargets.applyStatement(statement);
        }
      }),
    );
  }
}

/** Validates a received statement; returns `undefined` when it is malformed. */
function parseStatement(params: unknown): ColdStatement | undefined {
  const { id, leftMs, startedAt } = (params ?? {}) as Readonly<Record<string, unknown>>;
  const isStart = startedAt === null || typeof startedAt === 'number';
  return typeof id === 'string' && isStart && typeof leftMs === 'number' && leftMs >= 0
    ? { id, startedAt: startedAt ?? undefined, leftMs }
    : undefined;
}
