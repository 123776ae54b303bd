/**
 * The attempts that a connection to a target has carried. A faulty target may write an earlier
 * answer once more, at the point where the next one is expected, so an answer without an id belongs
 * to a request for certain only if the connection has carried no other one.
 */
import type { MeteredConnection } from './MeteredClient.js';

type TargetSocket = MeteredConnection['socket'];

/** Attempts that a history holds; earlier ones count as not carried. */
const MAX_ATTEMPTS = 64;

/** The attempts before the current one. */
export class ConnectionHistory {
  private readonly _attempts = new Set<string | undefined>();
  private _isKept = false;
  private _isRepeated = false;

  /** Whether the connection has carried a request before the current one. */
  public get isKept(): boolean {
    return this._isKept;
  }

  /** Whether the connection has carried the current attempt before. */
  public get isRepeated(): boolean {
    return this._isRepeated;
  }

  /** Records the attempt that is about to be sent. */
  public begin(attemptId: string | undefined): void {
    this._isRepeated = this._attempts.has(attemptId);
    this._isKept = this._attempts.size > 0;
    this._attempts.add(attemptId);
    const [oldest] = this._attempts;
    if (this._attempts.size > MAX_ATTEMPTS) {
      this._attempts.delete(oldest);
    }
  }
}

/** The histories of open connections. */
export class ConnectionHistories {
  private readonly _histories = new WeakMap<TargetSocket, ConnectionHistory>();

  /** The history of a connection; a new one if it is not known. */
  public of(connection: TargetSocket | undefined): ConnectionHistory {
    const known = connection && this._histories.get(connection);
    const history = known ?? new ConnectionHistory();
    if (connection !== undefined && known === undefined) {
      this._histories.set(connection, history);
    }
    return history;
  }
}
