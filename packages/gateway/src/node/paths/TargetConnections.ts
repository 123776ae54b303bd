/**
 * All connections of a node to targets: those of its own requests, on its own link or through other
 * nodes, and those that it relays for others. Connections are renewed when the way to a target
 * changes; requests in flight keep theirs.
 */
import { type Clock, DisposableOwner, type Metrics, type RandomSource } from '@tanagerdyke/kernel';
import type { Membership } from '@tanagerdyke/mesh';
import type { buildConnector } from 'undici';
import type { DecisionLog } from '../../common/DecisionLog.js';
import { RelayChoice } from '../../common/paths/RelayChoice.js';
import { TargetPaths } from '../../common/paths/TargetPaths.js';
import type { ColdTargets } from '../../common/placement/ColdTargets.js';
import type { RateLimits } from '../../common/placement/RateLimits.js';
import type { TargetPauses } from '../../common/placement/TargetPauses.js';
import { recordStatements } from '../../common/placement/TargetStatements.js';
import type { Dialect } from '../../common/services/Services.js';
import type { TargetTable } from '../../common/state/TargetTable.js';
import { Upstream } from '../Upstream.js';
import type { AnswerHead } from './RelayedAnswerReader.js';
import { RelayServer } from './RelayServer.js';
import { SilenceMonitor } from './SilenceMonitor.js';
import { TargetConnector, type TargetConnectorOptions } from './TargetConnector.js';

export interface TargetConnectionsOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  readonly membership: Membership;
  readonly targets: TargetTable;
  readonly pauses: TargetPauses;
  readonly rateLimits: RateLimits;
  readonly coldTargets: ColdTargets;
  readonly dialect: Pick<Dialect, 'parseTargetAnswer'>;
  /** `IP:port` at which this node relays connections; all nodes use the same port. */
  readonly relayAddress: string;
  readonly isDraining: () => boolean;
  /** Opens a connection on the own link. */
  readonly openOwnLink?: TargetConnectorOptions['openOwnLink'];
}

/** Creates and connects the parts that open connections to targets. */
export class TargetConnections extends DisposableOwner {
  public readonly upstream: Upstream;
  private readonly _paths: TargetPaths;
  private readonly _connector: TargetConnector;
  private readonly _relayServer: RelayServer;

  constructor(private readonly _options: TargetConnectionsOptions) {
    super();
    const { clock, isDraining, pauses, targets } = _options;
    const paths = this.register(new TargetPaths(_options));
    this._paths = paths;
    this._connector = this.register(this._createConnector());
    const monitor = this.register(
      new SilenceMonitor({
        clock,
        paths,
        probe: this._connector,
        connectedAddresses: () => this.upstream.addresses,
      }),
    );
    this.upstream = this.register(
      new Upstream({
        connect: this._connector.connect,
        connectWithin: (regions) => this._connector.connectWithin(regions),
        watch: (address) => monitor.watch(address),
      }),
    );
    this._relayServer = this.register(
      new RelayServer({
        ..._options,
        paths,
        isTarget: (address) => {
          const target = targets.findByAddress(address);
          return target !== undefined && targets.acceptsRequests(target.id);
        },
        isPaused: (address) => {
          const target = targets.findByAddress(address);
          return target !== undefined && pauses.isPaused(target.id);
        },
        onAnswerHead: (address, head) => {
          this._recordRelayedAnswer(address, head);
        },
        isDraining,
      }),
    );
    this._retireRelayed();
    const renew = (address?: string): void => {
      this.upstream.renewConnections(address);
    };
    this.register(paths.onChange(renew));
    this.register(this._connector.onRelayEnding(renew));
    this.register(
      paths.onCutOff(() => {
        renew();
      }),
    );
  }

  /** When this node lost its own links to all targets; `undefined` while it has not. */
  public get cutOffSince(): number | undefined {
    return this._paths.cutOffSince;
  }

  /** Number of connections that are relayed for other nodes. */
  public get relayed(): number {
    return this._relayServer.relayed;
  }

  /** Opens connections in the way of this node, for adapters that call targets themselves. */
  public get connect(): buildConnector.connector {
    return this._connector.connect;
  }

  /** Accepts connections of other nodes. Rejects if the address is in use. */
  public listen(): Promise<void> {
    return this._relayServer.listen(this._options.relayAddress);
  }

  /** A target sees this node as the sender of what it relays, so its statements hold for this node. */
  private _recordRelayedAnswer(address: string, { headers, status }: AnswerHead): void {
    const target = this._options.targets.findByAddress(address);
    if (target !== undefined) {
      const answer = this._options.dialect.parseTargetAnswer(status, headers);
      recordStatements(this._options, target, answer);
    }
  }

  /** Retires connections of other nodes to targets that take no more requests of this node. */
  private _retireRelayed(): void {
    const { pauses, targets } = this._options;
    const retire = (id: string): void => {
      const target = targets.find(id);
      if (target !== undefined) {
        this._relayServer.retire(target.address);
      }
    };
    this.register(pauses.onPause(retire));
    this.register(
      targets.onLeaving(({ id }) => {
        retire(id);
      }),
    );
    this.register(
      targets.onEvacuation(({ isEvacuated, zone }) => {
        for (const { address } of isEvacuated ? targets.targetsInZone(zone) : []) {
          this._relayServer.retire(address);
        }
      }),
    );
    this.register(
      targets.onChange(({ address, isDraining }) => {
        if (isDraining) {
          this._relayServer.retire(address);
        }
      }),
    );
  }

  private _createConnector(): TargetConnector {
    const { relayAddress, targets } = this._options;
    const [, relayPort = ''] = relayAddress.split(':');
    return new TargetConnector({
      ...this._options,
      paths: this._paths,
      choice: new RelayChoice(this._options),
      relayAddressOf: ({ peerAddress }) => `${peerAddress.split(':')[0] ?? ''}:${relayPort}`,
      zoneOf: (address) => targets.findByAddress(address)?.availabilityZone,
    });
  }
}
