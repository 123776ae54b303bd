/**
 * Checks a whole set of objects. Reports all broken references and contradictions together, each
 * with the object, the field and a remedy. The check never throws and depends only on the set, so
 * that all nodes reach the same result.
 */
import { match } from 'ts-pattern';
import {
  type ConfigurationObject,
  type Host,
  type Model,
  ObjectKind,
  objectKey,
  type Route,
  type System,
  type Target,
  TargetKind,
  type Version,
  type Workspace,
} from './Objects.js';
import type { HostedTarget, ObjectSet } from './ObjectSet.js';

/** A problem found in a set. */
export interface Finding {
  /** Key of the object, as `Route/answers`. */
  readonly object: string;
  readonly field: string;
  readonly problem: string;
  readonly remedy: string;
}

const WEIGHT_SUM = 100;
/** Number of claim windows that the retention of the log must at least cover. */
const MIN_WINDOWS_IN_RETENTION = 2;

/** Checks a whole set; it may be published if there are no findings. */
export function checkObjects(set: ObjectSet): readonly Finding[] {
  const findings = set.objects.flatMap((object) => checkObject(set, object));
  return [...findings, ...checkUniqueTargets(set), ...checkUniqueTokens(set)];
}

/**
 * Checks the transition from one set to the next: a shard layout of the claim streams that is in
 * use may only be removed by way of `retiringClaimShards`.
 */
export function checkTransition(before: ObjectSet, after: ObjectSet): readonly Finding[] {
  const { claimShards } = before.system;
  const { system } = after;
  const isKept =
    system.claimShards === claimShards || system.retiringClaimShards.includes(claimShards);
  if (before.size === 0 || isKept) {
    return [];
  }
  return [
    finding(
      system,
      'retiringClaimShards',
      `the layout with ${claimShards} shards is still in use`,
      `add ${claimShards} to retiringClaimShards for one claim window`,
    ),
  ];
}

/** Formats a finding as one line of text. */
export function describeFinding(finding: Finding): string {
  return `${finding.object}: ${finding.field}: ${finding.problem}; ${finding.remedy}`;
}

function checkObject(set: ObjectSet, object: ConfigurationObject): readonly Finding[] {
  return match(object)
    .with({ kind: ObjectKind.System }, checkSystem)
    .with({ kind: ObjectKind.Model }, () => [])
    .with({ kind: ObjectKind.Workspace }, (workspace) => checkWorkspace(set, workspace))
    .with({ kind: ObjectKind.Version }, (version) => checkVersion(set, version))
    .with({ kind: ObjectKind.Route }, (route) => checkRoute(set, route))
    .with({ kind: ObjectKind.Host }, (host) => checkHost(set, host))
    .exhaustive();
}

function checkSystem(system: System): readonly Finding[] {
  const { claimWindowMs, logRetentionMs } = system;
  if (claimWindowMs * MIN_WINDOWS_IN_RETENTION <= logRetentionMs) {
    return [];
  }
  return [
    finding(
      system,
      'claimWindowMs',
      `${claimWindowMs} ms is too long for a log that keeps records for ${logRetentionMs} ms`,
      `use at most ${Math.floor(logRetentionMs / MIN_WINDOWS_IN_RETENTION)} ms`,
    ),
  ];
}

function checkWorkspace(set: ObjectSet, workspace: Workspace): readonly Finding[] {
  return workspace.routes
    .filter((route) => set.route(route) === undefined)
    .map((route) => missingReference(workspace, 'routes', ObjectKind.Route, route));
}

function checkVersion(set: ObjectSet, version: Version): readonly Finding[] {
  if (set.model(version.model) === undefined) {
    return [missingReference(version, 'model', ObjectKind.Model, version.model)];
  }
  const engines = enginesWithVersion(set, version.name).length;
  if (engines > 0 && engines < version.replicas) {
    return [
      finding(
        version,
        'replicas',
        `${version.replicas} replicas are required, but only ${engines} engines list the version`,
        'list the version on more engine targets or lower replicas',
      ),
    ];
  }
  return [];
}

function checkRoute(set: ObjectSet, route: Route): readonly Finding[] {
  const hasVersions = route.versions.length > 0;
  const hasServices = route.services.length > 0;
  if (hasVersions === hasServices) {
    return [
      finding(
        route,
        'versions',
        'a route needs either versions or services',
        'name versions of a model, or service targets, not both',
      ),
    ];
  }
  return hasVersions ? checkModelRoute(set, route) : checkServiceRoute(set, route);
}

function checkModelRoute(set: ObjectSet, route: Route): readonly Finding[] {
  const findings: Finding[] = [];
  const sum = route.versions.reduce((total, each) => total + each.weight, 0);
  if (sum !== WEIGHT_SUM) {
    findings.push(
      finding(route, 'versions', `weights sum to ${sum}`, `make them sum to ${WEIGHT_SUM}`),
    );
  }
  for (const { version } of route.versions) {
    const object = set.version(version);
    if (object === undefined) {
      findings.push(missingReference(route, 'versions', ObjectKind.Version, version));
      continue;
    }
    findings.push(...checkRouteVersion(set, route, object));
  }
  return findings;
}

function checkRouteVersion(set: ObjectSet, route: Route, version: Version): readonly Finding[] {
  const engines = enginesWithVersion(set, version.name);
  if (engines.length === 0) {
    return [
      finding(
        route,
        'versions',
        `no engine lists version '${version.name}'`,
        'add the version to an engine target of a host',
      ),
    ];
  }
  const model = set.model(version.model);
  return model === undefined ? [] : checkPromptLimit(route, model, engines);
}

function checkPromptLimit(
  route: Route,
  model: Model,
  engines: readonly HostedTarget[],
): readonly Finding[] {
  const limit = route.maxPromptTokens ?? model.maxPromptTokens;
  if (limit > model.maxPromptTokens) {
    return [
      finding(
        route,
        'maxPromptTokens',
        `${limit} exceeds the ${model.maxPromptTokens} of model '${model.name}'`,
        'lower it to the limit of the model',
      ),
    ];
  }
  const memory = engines.reduce((total, each) => total + each.target.memoryTokens, 0);
  if (limit > memory) {
    return [
      finding(
        route,
        'maxPromptTokens',
        `the engines together hold ${memory} tokens, but the limit is ${limit}`,
        'lower the limit or list the version on more engines',
      ),
    ];
  }
  return [];
}

function checkServiceRoute(set: ObjectSet, route: Route): readonly Finding[] {
  return route.services.flatMap((service) => {
    const hosted = set.targets.get(service);
    if (hosted === undefined) {
      return [missingReference(route, 'services', 'target', service)];
    }
    if (hosted.target.kind !== TargetKind.Service) {
      return [
        finding(route, 'services', `target '${service}' is an engine`, 'name service targets'),
      ];
    }
    return [];
  });
}

function checkHost(set: ObjectSet, host: Host): readonly Finding[] {
  return host.targets.flatMap((target) => checkTarget(set, host, target));
}

function checkTarget(set: ObjectSet, host: Host, target: Target): readonly Finding[] {
  const field = `targets.${target.name}`;
  if (target.kind === TargetKind.Service) {
    return target.versions.length === 0
      ? []
      : [
          finding(
            host,
            field,
            'a service cannot have versions',
            'remove them or make the target an engine',
          ),
        ];
  }
  const findings = target.versions
    .filter((version) => set.version(version) === undefined)
    .map((version) => missingReference(host, `${field}.versions`, ObjectKind.Version, version));
  const requiredFields = [
    'memoryTokens',
    'prefillTokensPerSecond',
    'decodeTokensPerSecond',
  ] as const;
  for (const each of requiredFields) {
    if (target[each] <= 0) {
      findings.push(
        finding(host, `${field}.${each}`, 'required for an engine', 'set a number above 0'),
      );
    }
  }
  return findings;
}

function checkUniqueTargets(set: ObjectSet): readonly Finding[] {
  const findings: Finding[] = [];
  const names = new Map<string, string>();
  const addresses = new Map<string, string>();
  for (const host of set.ofKind<Host>(ObjectKind.Host)) {
    for (const target of host.targets) {
      findings.push(...checkUnique(names, target.name, host, 'name'));
      findings.push(...checkUnique(addresses, target.address, host, 'address'));
    }
  }
  return findings;
}

function checkUniqueTokens(set: ObjectSet): readonly Finding[] {
  const tokens = new Map<string, string>();
  return set
    .ofKind<Workspace>(ObjectKind.Workspace)
    .flatMap((each) => checkUnique(tokens, each.tokenDigest, each, 'tokenDigest'));
}

function checkUnique(
  seen: Map<string, string>,
  value: string,
  object: ConfigurationObject,
  field: string,
): readonly Finding[] {
  const owner = seen.get(value);
  if (owner === undefined) {
    seen.set(value, objectKey(object));
    return [];
  }
  return [
    finding(object, field, `'${value}' is already used by ${owner}`, 'make the values unique'),
  ];
}

function enginesWithVersion(set: ObjectSet, version: string): readonly HostedTarget[] {
  return [...set.targets.values()].filter(
    ({ target }) => target.kind === TargetKind.Engine && target.versions.includes(version),
  );
}

function missingReference(
  object: ConfigurationObject,
  field: string,
  kind: string,
  name: string,
): Finding {
  return finding(
    object,
    field,
    `${kind} '${name}' does not exist`,
    `add ${kind} '${name}' to the set or remove the reference`,
  );
}

function finding(
  object: ConfigurationObject,
  field: string,
  problem: string,
  remedy: string,
): Finding {
  return { object: objectKey(object), field, problem, remedy };
}
