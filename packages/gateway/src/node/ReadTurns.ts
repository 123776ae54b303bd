/**
 * Shares the event loop among connections on which answers arrive. An answer in many small pieces costs
 * processor time far beyond its size, so a connection may cause a bounded amount of work in each turn
 * of the event loop; the rest waits in the kernel, which slows its sender down by flow control. A
 * connection that stays below its share never waits. Those beyond it wait in a queue, of which each turn
 * serves a bounded amount of work, so that many of them cost the others no more than one does.
 */

/** Work of one connection in a turn before it waits, and of all that wait; a piece of payload is one. */
const SHARE_OF_CONNECTION = 32;
const SHARE_OF_WAITING = 128;
/** Bytes that cost as much as a piece. */
const BYTES_PER_UNIT = 4 * 1024;

/** Turns of the event loop; one instance for all connections. */
export class ReadTurns {
  private readonly _waiting = new Set<ConnectionTurn>();
  private _number = 0;
  private _isScheduled = false;

  /** @param schedule calls back in the next turn of the event loop, after events of sockets */
  constructor(private readonly _schedule: (callback: () => void) => void) {}

  /** Number of the current turn, which ends only if work was recorded in it. */
  public get number(): number {
    return this._number;
  }

  /** Opens the account of a connection; `resume` lets it read again. */
  public open(resume: () => void): ConnectionTurn {
    return new ConnectionTurn(this, resume);
  }

  /** Ends the current turn after the events of this turn of the event loop. */
  public expectNext(): void {
    if (!this._isScheduled) {
      this._isScheduled = true;
      this._schedule(() => {
        this._isScheduled = false;
        this._beginTurn();
      });
    }
  }

  public enqueue(connection: ConnectionTurn): void {
    this._waiting.add(connection);
    this.expectNext();
  }

  public remove(connection: ConnectionTurn): void {
    this._waiting.delete(connection);
  }

  private _beginTurn(): void {
    this._number++;
    let left = SHARE_OF_WAITING;
    for (const connection of this._waiting) {
      this._waiting.delete(connection);
      left -= connection.resume();
      if (left <= 0) {
        break;
      }
    }
    if (this._waiting.size > 0) {
      this.expectNext();
    }
  }
}

/** The work that one connection caused. */
export class ConnectionTurn {
  private _turn = -1;
  private _spent = 0;
  private _isWaiting = false;

  constructor(
    private readonly _turns: ReadTurns,
    private readonly _resume: () => void,
  ) {}

  /** Work that the connection may still cause in this turn; at 0 it waits for the next one. */
  public get left(): number {
    this._update();
    return this._isWaiting ? 0 : Math.max(0, SHARE_OF_CONNECTION - this._spent);
  }

  /** Records a read and the pieces in it. */
  public spend(bytes: number, pieces: number): void {
    this._update();
    this._spent += bytes / BYTES_PER_UNIT + pieces;
    this._turns.expectNext();
  }

  /** Calls back `resume` in a later turn. */
  public wait(): void {
    if (!this._isWaiting) {
      this._isWaiting = true;
      this._turns.enqueue(this);
    }
  }

  /** Lets the connection read its share; returns the work that this caused. */
  public resume(): number {
    this._isWaiting = false;
    this._turn = this._turns.number;
    this._spent = 0;
    this._resume();
    return this._spent;
  }

  public dispose(): void {
    this._turns.remove(this);
  }

  private _update(): void {
    if (this._turn !== this._turns.number) {
      this._turn = this._turns.number;
      this._spent = 0;
    }
  }
}
