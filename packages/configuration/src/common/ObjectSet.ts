/**
 * An immutable set of configuration objects with look-up by kind and name, and a digest. The digest
 * is computed from one cached digest per object, so that changing a few objects of a large set is
 * cheap.
 */
import { createHash } from 'node:crypto';
import {
  type ConfigurationObject,
  type Host,
  type Model,
  ObjectKind,
  objectKey,
  type ObjectReference,
  type Route,
  type System,
  systemSchema,
  type Target,
  type Version,
  type Workspace,
} from './Objects.js';

/** A target with the host that it runs on. */
export interface HostedTarget {
  readonly host: Host;
  readonly target: Target;
}

const DEFAULT_SYSTEM: System = systemSchema.parse({ kind: ObjectKind.System, name: 'system' });
const objectDigests = new WeakMap<ConfigurationObject, string>();

/** An immutable set of objects, at most one per kind and name. */
export class ObjectSet {
  public static readonly empty = new ObjectSet(new Map());
  private _digest: string | undefined;
  private _targets: ReadonlyMap<string, HostedTarget> | undefined;
  private _workspacesByToken: ReadonlyMap<string, Workspace> | undefined;

  private constructor(private readonly _objectsByKey: ReadonlyMap<string, ConfigurationObject>) {}

  public static of(objects: Iterable<ConfigurationObject>): ObjectSet {
    const byKey = new Map<string, ConfigurationObject>();
    for (const object of objects) {
      byKey.set(objectKey(object), object);
    }
    return new ObjectSet(byKey);
  }

  public get size(): number {
    return this._objectsByKey.size;
  }

  public get objects(): readonly ConfigurationObject[] {
    return [...this._objectsByKey.values()];
  }

  /** SHA-256 over the digests of all objects, sorted by key, in hexadecimal. */
  public get digest(): string {
    this._digest ??= this._computeDigest();
    return this._digest;
  }

  /** The settings of the whole system; the defaults if the set contains none. */
  public get system(): System {
    return this._find<System>(ObjectKind.System, 'system') ?? DEFAULT_SYSTEM;
  }

  /** All targets by name. */
  public get targets(): ReadonlyMap<string, HostedTarget> {
    this._targets ??= this._indexTargets();
    return this._targets;
  }

  public workspace(name: string): Workspace | undefined {
    return this._find<Workspace>(ObjectKind.Workspace, name);
  }

  public model(name: string): Model | undefined {
    return this._find<Model>(ObjectKind.Model, name);
  }

  public version(name: string): Version | undefined {
    return this._find<Version>(ObjectKind.Version, name);
  }

  public route(name: string): Route | undefined {
    return this._find<Route>(ObjectKind.Route, name);
  }

  public host(name: string): Host | undefined {
    return this._find<Host>(ObjectKind.Host, name);
  }

  /** The workspace whose token has this SHA-256 digest. */
  public workspaceByTokenDigest(digest: string): Workspace | undefined {
    this._workspacesByToken ??= new Map(
      this.ofKind<Workspace>(ObjectKind.Workspace).map((each) => [each.tokenDigest, each]),
    );
    return this._workspacesByToken.get(digest);
  }

  public ofKind<T extends ConfigurationObject>(kind: T['kind']): readonly T[] {
    return this.objects.filter((each): each is T => each.kind === kind);
  }

  /** Returns the set that results from a change. */
  public with(
    upserts: readonly ConfigurationObject[],
    removals: readonly ObjectReference[],
  ): ObjectSet {
    const next = new Map(this._objectsByKey);
    for (const removal of removals) {
      next.delete(objectKey(removal));
    }
    for (const upsert of upserts) {
      next.set(objectKey(upsert), upsert);
    }
    return new ObjectSet(next);
  }

  /** Returns the change that turns this set into `next`. */
  public difference(next: ObjectSet): ObjectChange {
    const upserts = next.objects.filter((each) => {
      const before = this._objectsByKey.get(objectKey(each));
      return before === undefined || objectDigest(before) !== objectDigest(each);
    });
    const removals = this.objects
      .filter((each) => !next._objectsByKey.has(objectKey(each)))
      .map(({ kind, name }) => ({ kind, name }));
    return { upserts, removals };
  }

  private _find<T extends ConfigurationObject>(kind: T['kind'], name: string): T | undefined {
    return this._objectsByKey.get(objectKey({ kind, name })) as T | undefined;
  }

  private _indexTargets(): ReadonlyMap<string, HostedTarget> {
    const targets = new Map<string, HostedTarget>();
    for (const host of this.ofKind<Host>(ObjectKind.Host)) {
      for (const target of host.targets) {
        targets.set(target.name, { host, target });
      }
    }
    return targets;
  }

  private _computeDigest(): string {
    const hash = createHash('sha256');
    for (const key of [...this._objectsByKey.keys()].sort()) {
      const object = this._objectsByKey.get(key);
      if (object !== undefined) {
        hash.update(objectDigest(object));
      }
    }
    return hash.digest('hex');
  }
}

/** The difference between two sets, as an operator publishes it. */
export interface ObjectChange {
  readonly upserts: readonly ConfigurationObject[];
  readonly removals: readonly ObjectReference[];
}

function objectDigest(object: ConfigurationObject): string {
  let digest = objectDigests.get(object);
  if (digest === undefined) {
    digest = createHash('sha256').update(canonicalJson(object)).digest('hex');
    objectDigests.set(object, digest);
  }
  return digest;
}

/** Serialises as JSON with sorted keys, so that equal values have the same text and digest. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, inner: unknown) => {
    if (typeof inner !== 'object' || inner === null || Array.isArray(inner)) {
      return inner;
    }
    const entries = Object.entries(inner).filter(([, each]) => each !== undefined);
    return Object.fromEntries(entries.sort(([a], [b]) => (a < b ? -1 : 1)));
  });
}
