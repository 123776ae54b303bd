/**
 * A loopback proxy that injects faults into connections from outside the processes: delays, resets,
 * and loss of data in one or both directions. It serves one link, such as from a node to the store.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { SystemClock } from '@tanagerdyke/kernel';
import { listenOnLoopback } from './Loopback.js';

/** The fault of a link. */
export enum LinkFault {
  None = 'none',
  Delays = 'delays',
  /** Closes open connections and resets new ones. */
  Resets = 'resets',
  /** Keeps connections open and drops all data. */
  Silent = 'silent',
  /** Forwards requests and drops answers. */
  LosesAnswers = 'loses-answers',
}

const DELAY_MS = 60;

/** A connection through the proxy. */
interface ProxiedConnection {
  readonly sockets: readonly Socket[];
  isSilent: boolean;
}

/** A TCP proxy for the connections of one link. */
export class FaultProxy {
  private readonly _clock = new SystemClock();
  private _fault = LinkFault.None;
  private readonly _server: Server;
  private readonly _connections = new Set<ProxiedConnection>();

  constructor(private readonly _targetPort: number) {
    this._server = createServer((socket) => {
      this._accept(socket);
    });
  }

  public listen(): Promise<number> {
    return listenOnLoopback(this._server);
  }

  /** Drops all data of the connections that are open now, for good; new ones are not affected. */
  public silenceOpenConnections(): void {
    for (const connection of this._connections) {
      connection.isSilent = true;
    }
  }

  /** Sets the fault. Clearing it closes open connections too, because they may have lost data. */
  public set fault(fault: LinkFault) {
    this._fault = fault;
    if (fault === LinkFault.Resets || fault === LinkFault.None) {
      this._destroySockets();
    }
  }

  public close(): void {
    this._server.close();
    this._destroySockets();
  }

  private _accept(caller: Socket): void {
    if (this._fault === LinkFault.Resets) {
      caller.resetAndDestroy();
      return;
    }
    // From the address of the caller, so that the target can tell its callers apart.
    const { remoteAddress: localAddress } = caller;
    const target = connect({ host: '127.0.0.1', port: this._targetPort, localAddress });
    const connection = { sockets: [caller, target], isSilent: false };
    this._connections.add(connection);
    for (const socket of connection.sockets) {
      socket.on('error', () => undefined);
      socket.on('close', () => {
        this._connections.delete(connection);
        caller.destroy();
        target.destroy();
      });
    }
    const forward = async (chunk: Buffer, to: Socket, isAnswer: boolean): Promise<void> => {
      if (!connection.isSilent) {
        await this._forward(chunk, to, isAnswer);
      }
    };
    caller.on('data', (chunk) => void forward(chunk, target, false));
    target.on('data', (chunk) => void forward(chunk, caller, true));
  }

  private async _forward(chunk: Buffer, to: Socket, isAnswer: boolean): Promise<void> {
    if (this._fault === LinkFault.Silent) {
      return;
    }
    if (isAnswer && this._fault === LinkFault.LosesAnswers) {
      return;
    }
    if (this._fault === LinkFault.Delays) {
      await this._clock.sleep(DELAY_MS);
    }
    to.write(chunk);
  }

  private _destroySockets(): void {
    // An answer without a length looks complete if its connection ends without a reset.
    for (const socket of [...this._connections].flatMap(({ sockets }) => sockets)) {
      socket.resetAndDestroy();
    }
  }
}
