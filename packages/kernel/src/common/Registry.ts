/**
 * The plug-in registry. A plug-in is a factory that registers itself under the name by which
 * settings or configuration refer to it; the kernel depends on none of them.
 */
import { Result } from 'true-myth';
import { ErrorKind, ServiceError } from './ServiceError.js';

/** Factories of the implementations of one interface, by name. */
export class Registry<Factory> {
  private readonly _factories = new Map<string, Factory>();

  constructor(private readonly _pluginKind: string) {}

  /** Adds or replaces the factory of `name`. */
  public register(name: string, factory: Factory): void {
    this._factories.set(name, factory);
  }

  public get names(): readonly string[] {
    return [...this._factories.keys()].sort();
  }

  /** Returns the factory of `name`, or an error that lists the registered names. */
  public find(name: string): Result<Factory, ServiceError> {
    const factory = this._factories.get(name);
    if (factory === undefined) {
      return Result.err(
        new ServiceError(ErrorKind.NotFound, `no ${this._pluginKind} is called '${name}'`, {
          remedy: `use one of: ${this.names.join(', ')}`,
        }),
      );
    }
    return Result.ok(factory);
  }
}
