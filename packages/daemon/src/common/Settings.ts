/** The schema of the settings file of a daemon. Durations are in milliseconds. */
import * as z from 'zod';

const MAX_DURATION_MS = 86_400_000;
const MAX_PORT = 65_535;
const MAX_OCTET = 255;
const HOST_PORT = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;
const HTTP_PREFIX = 'http://';

/** Whether a text is `IP:port` with a valid IPv4 address and port. */
function isHostPort(text: string): boolean {
  const numbers = HOST_PORT.exec(text)?.slice(1).map(Number) ?? [];
  const port = numbers.pop() ?? 0;
  return port >= 1 && port <= MAX_PORT && numbers.every((octet) => octet <= MAX_OCTET);
}

const hostPort = z
  .string()
  .refine(isHostPort, `use IP:port with an IP number and a port from 1 to ${MAX_PORT}`);
const url = z
  .string()
  .refine(
    (text) => text.startsWith(HTTP_PREFIX) && isHostPort(text.slice(HTTP_PREFIX.length)),
    `use ${HTTP_PREFIX}IP:port with an IP number and a port from 1 to ${MAX_PORT}`,
  );
const durationMs = z
  .number('give milliseconds as a number without a unit')
  .int('use whole milliseconds')
  .min(1, 'use at least 1 ms')
  .max(MAX_DURATION_MS, 'use at most one day in milliseconds');
const bytes = z
  .number('give bytes as a number without a unit')
  .int('use whole bytes')
  .min(1_024, 'use at least 1024 bytes');
const nameLabel = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]*$/, 'use lower-case letters, digits and dashes');

/** The source of a secret: either an environment variable or a file. */
const secretSchema = z
  .strictObject({
    environment: z
      .string()
      .regex(/^[A-Za-z_][A-Za-z0-9_]*$/, 'name an environment variable, not the secret itself')
      .optional(),
    file: z.string().min(1, 'name a file').optional(),
  })
  .refine(
    ({ environment, file }) => (environment === undefined) !== (file === undefined),
    "give either 'environment' or 'file'",
  );

const limitsSchema = z.strictObject({
  /** Largest request body, in bytes. */
  bodyBytes: bytes.default(8_388_608),
  /** Largest request header block, in bytes. */
  headerBytes: bytes.default(16_384),
  /** Open connections above which requests are refused. */
  connections: z.number().int().min(1).default(2_000),
  /** Time within which a client must send its header block. */
  headersTimeoutMs: durationMs.default(5_000),
  /** Time within which a client must send its complete request. */
  requestTimeoutMs: durationMs.default(30_000),
  /** Time after which an idle connection is closed. */
  idleTimeoutMs: durationMs.default(10_000),
});

const fieldsSchema = z.strictObject({
  node: z.strictObject({ name: nameLabel, region: nameLabel, availabilityZone: nameLabel }),
  listen: z.strictObject({ caller: hostPort, peer: hostPort }),
  /** Peer addresses through which this node joins the others. */
  seeds: z.array(hostPort).default([]),
  platform: z.strictObject({
    /** Name under which the platform adapter is registered. */
    adapter: z.string(),
    log: url,
    hostList: url,
    weightStore: url,
  }),
  operatorToken: secretSchema,
  limits: limitsSchema.prefault({}),
  drain: z
    .strictObject({
      /** Time for requests to end on their own, from when a draining node refuses new ones. */
      timeoutMs: durationMs.default(120_000),
    })
    .prefault({}),
  logs: z
    .strictObject({
      /** Namespace patterns in the syntax of the `debug` library. */
      namespaces: z.string().default('tanager:*'),
    })
    .prefault({}),
});

/** The schema of the settings, including the checks of combinations of fields. */
export const settingsSchema = fieldsSchema.superRefine((settings, context) => {
  for (const { path, message } of checkCombinations(settings)) {
    context.addIssue({ code: 'custom', path: [...path], message });
  }
});

/** An invalid combination of fields, reported at the field to change. */
interface CombinationFinding {
  readonly path: readonly string[];
  readonly message: string;
}

function checkCombinations({ limits, listen }: SettingsFields): readonly CombinationFinding[] {
  const findings: CombinationFinding[] = [];
  if (listen.caller === listen.peer) {
    findings.push({
      path: ['listen', 'peer'],
      message: 'callers use this address too; use another port',
    });
  }
  if (limits.headersTimeoutMs > limits.requestTimeoutMs) {
    findings.push({
      path: ['limits', 'headersTimeoutMs'],
      message: `it is longer than requestTimeoutMs of ${limits.requestTimeoutMs}; lower it`,
    });
  }
  return findings;
}

type SettingsFields = z.infer<typeof fieldsSchema>;

export type Settings = z.infer<typeof settingsSchema>;
/** Keys whose values are never printed. */
export const SECRET_KEYS = ['operatorToken'] as const;

export type SecretSource = Settings['operatorToken'];
