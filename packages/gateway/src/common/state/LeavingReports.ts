/**
 * Shares among all nodes which targets state that they are leaving. Load pattern: a target leaves
 * while its entry still says that it accepts requests, and each node sends it requests until it has
 * received an answer of its own, as does each node that restarts meanwhile.
 */
import { DisposableOwner } from '@tanagerdyke/kernel';
import {
  encodeNotification,
  type Member,
  type Membership,
  MemberStatus,
  notificationParser,
  type ZoneBroadcast,
} from '@tanagerdyke/mesh';
import type { TargetInstance, TargetTable } from './TargetTable.js';

const LEAVING_METHOD = 'target.leaving';

/** Ready nodes that send their statements to a process which has just started; one may be lost. */
const INFORMANTS = 2;

const parseLeaving = notificationParser(LEAVING_METHOD, parseInstance);

export interface LeavingReportsOptions {
  readonly broadcast: ZoneBroadcast;
  readonly membership: Membership;
  readonly targets: TargetTable;
}

/** Broadcasts the statements that this node receives, and applies those of the others. */
export class LeavingReports extends DisposableOwner {
  constructor(private readonly _options: LeavingReportsOptions) {
    super();
    const { broadcast, membership, targets } = _options;
    this.register(
      targets.onLeaving((instance) => {
        broadcast.send(encodeLeaving(instance));
      }),
    );
    this.register(
      membership.onChange((member) => {
        if (isNewProcess(member)) {
          this._inform(member);
        }
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

  /** Tells a member which targets are leaving, if this node is one of those that do. */
  private _inform(member: Member): void {
    const { broadcast, membership, targets } = this._options;
    const { name } = membership.self;
    const informants = membership.serving.filter((each) => each.name !== member.name);
    if (informants.slice(0, INFORMANTS).some((each) => each.name === name)) {
      for (const instance of targets.leaving) {
        broadcast.sendTo(member, encodeLeaving(instance));
      }
    }
  }
}

/** Whether a member has just started, so that it has none of the statements before. */
function isNewProcess({ stateVersion, status }: Member): boolean {
  return stateVersion === 0 && status === MemberStatus.Alive;
}

function encodeLeaving({ id, startedAt }: TargetInstance): string {
  return encodeNotification(LEAVING_METHOD, { id, startedAt: startedAt ?? null });
}

/** Validates a received report; returns `undefined` when it is malformed. */
function parseInstance(params: unknown): TargetInstance | undefined {
  const { id, startedAt } = (params ?? {}) as Readonly<Record<string, unknown>>;
  const isStart = startedAt === null || typeof startedAt === 'number';
  return typeof id === 'string' && isStart ? { id, startedAt: startedAt ?? undefined } : undefined;
}
