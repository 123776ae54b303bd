/** Counts the bytes of a set of sockets, including those that have closed. */
import type { Socket } from 'node:net';
import type { LinkTraffic } from '../common/services/Services.js';

/** Sums up the traffic of the sockets that were added. */
export class SocketTraffic implements LinkTraffic {
  private readonly _open = new Set<Socket>();
  private _closedBytes = 0;

  public get receivedBytes(): number {
    return [...this._open].reduce((sum, { bytesRead }) => sum + bytesRead, this._closedBytes);
  }

  public get queuedBytes(): number {
    return [...this._open].reduce((sum, { writableLength }) => sum + writableLength, 0);
  }

  public add(socket: Socket): void {
    this._open.add(socket);
    socket.once('close', () => {
      this._open.delete(socket);
      this._closedBytes += socket.bytesRead;
    });
  }
}
