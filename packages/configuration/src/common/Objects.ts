/**
 * The configuration objects that operators publish. They refer to each other by name;
 * `ConfigurationCheck` checks a whole set of them together. Durations are in milliseconds, lengths
 * in tokens.
 */
import { MAX_PROMPT_TOKENS, TargetRole } from '@tanagerdyke/contracts';
import * as z from 'zod';

export enum ObjectKind {
  System = 'System',
  Workspace = 'Workspace',
  Model = 'Model',
  Version = 'Version',
  Route = 'Route',
  Host = 'Host',
}

/** What a target runs: an inference engine or a plain service. */
export enum TargetKind {
  Engine = 'engine',
  Service = 'service',
}

/** Whether operators intend a host to receive work. */
export enum HostIntent {
  Active = 'active',
  Leaving = 'leaving',
}

const MAX_NAME_CHARACTERS = 128;
/** One day. */
const MAX_DURATION_MS = 86_400_000;
const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]*$/, 'use lower-case letters, digits, dots and dashes')
  .max(MAX_NAME_CHARACTERS);
const address = z
  .string()
  .regex(/^http:\/\/(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'use http://IP:port with an IP number');
const durationMs = z.number().int().min(1).max(MAX_DURATION_MS);
const shardCount = z.number().int().min(1).max(256);

/** Settings of the whole system; at most one object, named `system`. */
export const systemSchema = z.strictObject({
  kind: z.literal(ObjectKind.System),
  name: z.literal('system'),
  /** Number of shards of the claim stream. */
  claimShards: shardCount.default(4),
  /** Shard counts that were replaced; they must be kept for one claim window after the change. */
  retiringClaimShards: z.array(shardCount).default([]),
  /** Time for which the log of the platform retains records. */
  logRetentionMs: durationMs.default(3_600_000),
  /** Maximum age of an idempotency key. */
  claimWindowMs: durationMs.default(600_000),
  /** Time for which callers may cache the addresses in an answer. */
  addressTimeToLiveMs: durationMs.default(5_000),
  /** Intended time until a leaving target receives no new work. No component reads it. */
  leavingSpreadMs: durationMs.default(3_000),
});

/** A customer. */
export const workspaceSchema = z.strictObject({
  kind: z.literal(ObjectKind.Workspace),
  name,
  /** SHA-256 of the caller token, in lower-case hexadecimal. */
  tokenDigest: z.string().regex(/^[0-9a-f]{64}$/, 'use the SHA-256 of the token in hexadecimal'),
  /** Share of the capacity, relative to the weights of the other workspaces. */
  weight: z.number().min(0.01).max(1000).default(1),
  /** Names of the routes that the workspace may use. */
  routes: z.array(name).min(1),
});

/** A model that versions implement. */
export const modelSchema = z.strictObject({
  kind: z.literal(ObjectKind.Model),
  name,
  /** Maximum prompt length. */
  maxPromptTokens: z.number().int().min(1).max(MAX_PROMPT_TOKENS),
});

/** A version of a model that engines can load: its weights or an adapter. */
export const versionSchema = z.strictObject({
  kind: z.literal(ObjectKind.Version),
  name,
  model: name,
  /** Number of engines that must have the version loaded. */
  replicas: z.number().int().min(1).max(10_000).default(1),
});

const weightedVersion = z.strictObject({
  version: name,
  /** Percentage of the route's requests; all weights of a route sum to 100. */
  weight: z.number().int().min(0).max(100),
});

/** What callers address: either versions of a model or plain services. */
export const routeSchema = z.strictObject({
  kind: z.literal(ObjectKind.Route),
  name,
  versions: z.array(weightedVersion).default([]),
  /** Names of service targets. */
  services: z.array(name).default([]),
  /** Request path on the service targets. */
  path: z.string().startsWith('/').max(1024).default('/'),
  /** Whether a call may be sent to the services again after a failure. */
  isRepeatable: z.boolean().default(false),
  /** Name of the placement policy. */
  policy: name.default('slowdown'),
  /** Default deadline of requests that state none. */
  deadlineMs: durationMs.default(60_000),
  /** Maximum prompt length; by default that of the model. */
  maxPromptTokens: z.number().int().min(1).max(MAX_PROMPT_TOKENS).optional(),
});

const targetSchema = z.strictObject({
  name,
  kind: z.enum(TargetKind),
  /** Name of the adapter plug-in. */
  adapter: name,
  address,
  /** Versions that the engine has loaded when it starts; engines only. */
  versions: z.array(name).default([]),
  role: z.enum(TargetRole).default(TargetRole.General),
  /** KV cache memory in tokens; engines only. */
  memoryTokens: z.number().int().min(0).default(0),
  /** Unloaded prefill speed, tokens per second; engines only. */
  prefillTokensPerSecond: z.number().min(0).default(0),
  /** Unloaded decode speed of one stream, tokens per second; engines only. */
  decodeTokensPerSecond: z.number().min(0).default(0),
  /** Whether the target rejects orders with an outdated fencing number. */
  checksFencing: z.boolean().default(false),
  /** Whether the service supports looking up idempotency keys; services only. */
  offersLookUp: z.boolean().default(false),
});

/** A machine and the targets that run on it. */
export const hostSchema = z.strictObject({
  kind: z.literal(ObjectKind.Host),
  name,
  region: name,
  availabilityZone: name,
  intent: z.enum(HostIntent).default(HostIntent.Active),
  targets: z.array(targetSchema).min(1),
});

/** Any configuration object. */
export const objectSchema = z.discriminatedUnion('kind', [
  systemSchema,
  workspaceSchema,
  modelSchema,
  versionSchema,
  routeSchema,
  hostSchema,
]);

export type System = z.infer<typeof systemSchema>;
export type Workspace = z.infer<typeof workspaceSchema>;
export type Model = z.infer<typeof modelSchema>;
export type Version = z.infer<typeof versionSchema>;
export type Route = z.infer<typeof routeSchema>;
export type Target = z.infer<typeof targetSchema>;
export type Host = z.infer<typeof hostSchema>;
export type ConfigurationObject = z.infer<typeof objectSchema>;

/** A reference to an object. */
export interface ObjectReference {
  readonly kind: ObjectKind;
  readonly name: string;
}

/** The key of an object in a set, as `Route/answers`. */
export function objectKey(reference: ObjectReference): string {
  return `${reference.kind}/${reference.name}`;
}
