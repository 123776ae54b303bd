/**
 * The configuration in force at this node: the newest version that it has heard of. Within the
 * life of a process the version only grows. Lookups by host, path and key are prepared once.
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

/** The configuration of one node. */
export class ConfigurationState extends DisposableOwner {
  private _current: ForwardingConfiguration | undefined;
  private _routes = new Map<string, ForwardRoute[]>();
  private _services = new Map<string, TargetService>();
  private _workspaces = new Map<string, CallerWorkspace>();
  private readonly _onChange = this.register(new Emitter<ForwardingConfiguration>());
  public readonly onChange = this._onChange.event;

  constructor(
    table: KeyedTable,
    private readonly _decoder: RecordDecoder,
    private readonly _log: DecisionLog,
  ) {
    super();
    this.register(
      table.onChange((records) => {
        for (const record of records) {
          this._take(record);
        }
      }),
    );
  }

  public get current(): ForwardingConfiguration | undefined {
    return this._current;
  }

  public service(name: string): TargetService | undefined {
    return this._services.get(name);
  }

  /** The route of a host with the longest prefix of a path. */
  public findRoute(host: string, path: string): ForwardRoute | undefined {
    return this._routes.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  /** The workspace that holds a key. */
  public findWorkspace(key: string): CallerWorkspace | undefined {
    return this._workspaces.get(key);
  }

  /** Whether callers need keys at all. */
  public get needsKeys(): boolean {
    return this._workspaces.size > 0;
  }

  private _take({ key, offset, value }: KeyedRecord): void {
    if (value === undefined || !this._decoder.isConfiguration(key)) {
      return;
    }
    const decoded = this._decoder.configuration(value);
    if (decoded.isErr) {
      this._log.note('configuration.unreadable', { offset, cause: decoded.error.message });
      return;
    }
    const next = decoded.value;
    const before = this._current?.version;
    if (before !== undefined && next.version <= before) {
      return;
    }
    this._current = next;
    this._routes = groupRoutes(next.routes);
    this._services = new Map(next.services.map((service) => [service.name, service]));
    this._workspaces = new Map(
      next.workspaces.flatMap((workspace) => workspace.keys.map((each) => [each, workspace])),
    );
    this._log.note('configuration.in-force', { version: next.version, before, offset });
    this._onChange.fire(next);
  }
}

/** Routes by host, the longest prefix first. */
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
