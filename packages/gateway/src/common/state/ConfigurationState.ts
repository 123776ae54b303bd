/**
 * The configuration in force at this node: the newest version that it has received. The version
 * never decreases while the process runs. The indexes by host, path and key are built once per
 * version.
 */
import { DisposableOwner, Emitter } from '@tanagerdyke/kernel';
import type {
  CallerWorkspace,
  ForwardingConfiguration,
  ForwardRoute,
  TargetService,
} from '../Messages.js';
import type { DecisionLog } from '../DecisionLog.js';
import type { KeyedRecord, RecordDecoder } from '../services/Services.js';
import type { KeyedTable } from './KeyedTable.js';

/** Decides whether records are held back. */
export interface ConfigurationOptions {
  /** Whether records are held back until `release`, as the node may not know the newest ones. */
  readonly isHeld: boolean;
}

/** Holds the configuration in force, with lookups of routes, services and workspaces. */
export class ConfigurationState extends DisposableOwner {
  private _current: ForwardingConfiguration | undefined;
  /** By key: the newest record, while records are held back. */
  private _held: Map<string, KeyedRecord> | undefined;
  private _routes = new Map<string, ForwardRoute[]>();
  private _services = new Map<string, TargetService>();
  private _workspaces = new Map<string, CallerWorkspace>();
  private readonly _onChange = this.register(new Emitter<ForwardingConfiguration>());
  public readonly onChange = this._onChange.event;

  constructor(
    table: KeyedTable,
    private readonly _decoder: RecordDecoder,
    private readonly _log: DecisionLog,
    { isHeld }: ConfigurationOptions = { isHeld: false },
  ) {
    super();
    this._held = isHeld ? new Map() : undefined;
    this.register(
      table.onChange((records) => {
        for (const record of records) {
          if (this._held === undefined) {
            this._applyRecord(record);
          } else {
            this._held.set(record.key, record);
          }
        }
      }),
    );
  }

  /** Applies the records that were held back, and all later ones at once. */
  public release(): void {
    const held = this._held;
    this._held = undefined;
    for (const record of held?.values() ?? []) {
      this._applyRecord(record);
    }
  }

  public get current(): ForwardingConfiguration | undefined {
    return this._current;
  }

  public service(name: string): TargetService | undefined {
    return this._services.get(name);
  }

  /** The route of a host with the longest path prefix that matches. */
  public findRoute(host: string, path: string): ForwardRoute | undefined {
    return this._routes.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  /** The workspace that holds a key. */
  public findWorkspace(key: string): CallerWorkspace | undefined {
    return this._workspaces.get(key);
  }

  /** Whether callers need the key of a workspace. */
  public get requiresKeys(): boolean {
    return this._current?.requiresKeys ?? true;
  }

  private _applyRecord({ key, offset, value }: KeyedRecord): void {
    if (value === undefined || !this._decoder.isConfiguration(key)) {
      return;
    }
    const decoded = this._decoder.configuration(value);
    if (decoded.isErr) {
      this._log.write('configuration.unreadable', { offset, cause: decoded.error.message });
      return;
    }
    const next = decoded.value;
    const previousVersion = this._current?.version;
    if (previousVersion !== undefined && next.version <= previousVersion) {
      return;
    }
    this._current = next;
    this._routes = groupRoutes(next.routes);
    this._services = new Map(next.services.map((service) => [service.name, service]));
    this._workspaces = new Map(
      next.workspaces.flatMap((workspace) => workspace.keys.map((each) => [each, workspace])),
    );
    this._log.write('configuration.in-force', {
      version: next.version,
      before: previousVersion,
      offset,
      requiresKeys: next.requiresKeys,
      keys: this._workspaces.size,
    });
    this._onChange.fire(next);
  }
}

/** Routes by host, with the longest path prefix first. */
function groupRoutes(routes: readonly ForwardRoute[]): Map<string, ForwardRoute[]> {
  const grouped = new Map<string, ForwardRoute[]>();
  for (const route of routes) {
    const group = grouped.get(route.host) ?? [];
    group.push(route);
    grouped.set(route.host, group);
  }
  for (const group of grouped.values()) {
    group.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return grouped;
}
