/** Naive replacements of `TargetDirectory`. Only proof runs use them. */
import { type HostedTarget, HostIntent, type Target } from '@tanagerdyke/configuration';
import { TargetDirectory } from '@tanagerdyke/serving';
import { Result } from 'true-myth';

/** Treats a target as leaving only by the platform's host list, which shows it after a delay. */
export class HostListDirectory extends TargetDirectory {
  public override isLeaving({ host, target }: HostedTarget): boolean {
    return super.isLeaving({ target, host: { ...host, intent: HostIntent.Active } });
  }

  public override setTargetLeaving(): void {
    // Reports of the target itself that it is leaving are ignored.
  }
}

/** Wraps a directory so that its engines report items as freed but keep them. */
export function withIgnoredFrees(directory: TargetDirectory): TargetDirectory {
  return replaceMember(directory, 'engine', (target: Target) =>
    directory
      .engine(target)
      .map((engine) => replaceMember(engine, 'free', () => Promise.resolve(Result.ok()))),
  );
}

function replaceMember<T extends object>(object: T, member: keyof T, replacement: unknown): T {
  return new Proxy(object, {
    get: (inner, name) => {
      if (name === member) {
        return replacement;
      }
      const value: unknown = Reflect.get(inner, name);
      return typeof value === 'function' ? (value.bind(inner) as unknown) : value;
    },
  });
}
