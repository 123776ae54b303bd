/**
 * Sends the load updates of this node to the coordinators of the cells in which it has requests,
 * and receives those of the nodes for which it is a coordinator.
 */
import { type Clock, DisposableOwner, Emitter } from '@tanagerdyke/kernel';
import type { Membership, Transport } from '@tanagerdyke/mesh';
import type { CellDirectory } from './CellDirectory.js';
import { type EngineCell, keyOfCell } from './EngineCells.js';
import type { LoadChannel } from './LoadReporter.js';

/** Time after its last placement until a cell gets no updates; longer than any request lasts. */
const CELL_RETENTION_MS = 30_000;

export interface CoordinatorChannelOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly membership: Membership;
  readonly cells: CellDirectory;
}

/** Delivers load updates to coordinators. */
export class CoordinatorChannel extends DisposableOwner implements LoadChannel {
  private readonly _onMessage = this.register(new Emitter<string>());
  public readonly onMessage = this._onMessage.event;
  private readonly _usedAt = new Map<string, { readonly cell: EngineCell; at: number }>();

  constructor(private readonly _options: CoordinatorChannelOptions) {
    super();
    this.register(
      _options.transport.onDatagram((payload) => {
        this._onMessage.fire(payload);
      }),
    );
  }

  /** Records that a prompt was placed in a cell. */
  public recordUse(cell: EngineCell): void {
    this._usedAt.set(keyOfCell(cell), { cell, at: this._options.clock.now() });
  }

  public send(payload: string): void {
    const { membership, transport } = this._options;
    for (const address of this._recipients()) {
      if (address !== membership.self.peerAddress) {
        transport.sendDatagram(address, payload);
      }
    }
  }

  private _recipients(): ReadonlySet<string> {
    const { cells, clock } = this._options;
    const recipients = new Set<string>();
    for (const [key, { at, cell }] of this._usedAt) {
      if (clock.now() - at > CELL_RETENTION_MS) {
        this._usedAt.delete(key);
        continue;
      }
      for (const { peerAddress } of cells.coordinatorsOf(cell)) {
        recipients.add(peerAddress);
      }
    }
    return recipients;
  }
}
