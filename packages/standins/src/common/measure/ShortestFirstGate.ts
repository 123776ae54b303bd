/**
 * Admission gate of the shortest-prompt-first baseline: it limits the requests in prefill and
 * admits the shortest waiting prompt next, whatever its workspace.
 */

interface WaitingPrompt {
  readonly tokens: number;
  readonly admit: () => void;
}

/** A semaphore whose waiters are served in order of prompt length. */
export class ShortestFirstGate {
  private readonly _waiting: WaitingPrompt[] = [];
  private _freeSlots: number;

  constructor(slots: number) {
    this._freeSlots = slots;
  }

  /** Resolves once a prompt of this length has a slot, which `leave` releases. */
  public async enter(tokens: number): Promise<void> {
    if (this._freeSlots > 0) {
      this._freeSlots--;
      return;
    }
    await new Promise<void>((admit) => {
      this._waiting.push({ tokens, admit });
      this._waiting.sort((a, b) => a.tokens - b.tokens);
    });
  }

  /** Releases a slot and admits the shortest waiting prompt. */
  public leave(): void {
    const next = this._waiting.shift();
    if (next === undefined) {
      this._freeSlots++;
    } else {
      next.admit();
    }
  }
}
