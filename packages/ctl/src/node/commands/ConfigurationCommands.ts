/** Commands on the configuration: `check`, `publish`, `diff`, `get`, `drain` and `undrain`. */
import {
  checkObjects,
  describeFinding,
  HostIntent,
  type ObjectChange,
  objectKey,
  ObjectKind,
  ObjectSet,
} from '@tanagerdyke/configuration';
import { ErrorKind, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import type { CAC } from 'cac';
import { stringify } from 'yaml';
import { readConfigurationFiles } from '../ConfigurationFile.js';
import type { ObjectsInForce } from '../OperatorClient.js';
import { ExitCode, print, printError } from '../Output.js';
import { awaitRollout, describeChange, publishSet } from '../Publishing.js';
import { describeRollout } from '../Rollout.js';
import { clock, type CommonOptions, isJson, operatorClient, random } from './CommandContext.js';
import { readCount, readText } from './CommandContext.js';

interface PublishOptions extends CommonOptions {
  readonly id?: unknown;
  readonly wait?: unknown;
}

/** Returns the set to publish, given the set in force. */
type ChooseSet = (inForce: ObjectSet) => Result<ObjectSet, ServiceError>;

const DEFAULT_WAIT_MS = 5_000;

/** Registers the commands on the configuration. */
export function registerConfigurationCommands(cli: CAC): void {
  cli
    .command('check <...files>', 'check a whole set of objects without publishing')
    .action((files: string[], options: CommonOptions) => {
      const set = readSet(files);
      if (set.isErr) {
        printError(set.error, isJson(options));
        return;
      }
      const { size, digest } = set.value;
      print({ objects: size, digest }, isJson(options), () => `${size} objects, no findings`);
    });

  addPublishOptions(
    cli.command('publish <...files>', 'make a whole set of objects the configuration'),
  ).action((files: string[], options: PublishOptions) => publish(options, () => readSet(files)));

  addPublishOptions(
    cli.command('drain <host>', 'publish that a host is leaving: its targets get no new requests'),
  ).action((host: string, options: PublishOptions) =>
    publish(options, (inForce) => withIntent(inForce, host, HostIntent.Leaving)),
  );

  addPublishOptions(
    cli.command('undrain <host>', 'publish that a host takes requests again'),
  ).action((host: string, options: PublishOptions) =>
    publish(options, (inForce) => withIntent(inForce, host, HostIntent.Active)),
  );

  cli
    .command('diff <...files>', 'show what a publish would change')
    .action(async (files: string[], options: CommonOptions) => {
      const current = await operatorClient(options).configuration();
      const change = current.andThen(({ objects }) =>
        readSet(files).map((set) => ObjectSet.of(objects).difference(set)),
      );
      if (change.isErr) {
        printError(change.error, isJson(options));
        return;
      }
      print(change.value, isJson(options), renderChange);
    });

  cli
    .command('get [kind] [name]', 'print the objects in force, those of a kind, or one')
    .action(async (kind: string | undefined, name: unknown, options: CommonOptions) => {
      const current = await operatorClient(options).configuration();
      const selected = current.andThen((inForce) => selectObjects(inForce, kind, readText(name)));
      if (selected.isErr) {
        printError(selected.error, isJson(options));
        return;
      }
      print(selected.value, isJson(options), (value) => renderObjects(value, name !== undefined));
    });
}

function addPublishOptions(command: ReturnType<CAC['command']>): ReturnType<CAC['command']> {
  return command
    .option('--id <id>', 'id of the change; the same id never takes effect twice')
    .option('--wait <ms>', 'wait for all live nodes', { default: DEFAULT_WAIT_MS });
}

/** Prints both steps, one per line; fails when a node is still behind at the end of the wait. */
async function publish(options: PublishOptions, chooseSet: ChooseSet): Promise<void> {
  const waitMs = readCount(options.wait ?? DEFAULT_WAIT_MS, 'wait');
  const client = operatorClient(options);
  const id = readText(options.id) ?? random.identifier();
  const published = await publishSet(client, id, chooseSet);
  if (published.isErr) {
    printError(published.error, isJson(options));
    return;
  }
  const { offset } = published.value;
  print(
    { step: 'accepted', ...published.value },
    isJson(options),
    () => `accepted ${id} at offset ${offset}`,
  );
  const rollout = await awaitRollout(client, clock, offset, waitMs);
  if (rollout.isErr) {
    printError(rollout.error, isJson(options));
    return;
  }
  print({ step: 'in-force', ...rollout.value }, isJson(options), () =>
    describeRollout(rollout.value),
  );
  if (rollout.value.laggards.length > 0) {
    process.exitCode = ExitCode.Failure;
  }
}

function withIntent(
  inForce: ObjectSet,
  name: string,
  intent: HostIntent,
): Result<ObjectSet, ServiceError> {
  const host = inForce.host(name);
  return host === undefined
    ? Result.err(noObject(`${ObjectKind.Host}/${name}`))
    : Result.ok(inForce.with([{ ...host, intent }], []));
}

function renderChange(change: ObjectChange): string {
  const lines = describeChange(change);
  return lines.length === 0 ? 'no difference' : lines.join('\n');
}

/** Returns the objects in force that `get` selects by kind and name. */
export function selectObjects(
  inForce: ObjectsInForce,
  kind: string | undefined,
  name: string | undefined,
): Result<ObjectsInForce, ServiceError> {
  const objects = inForce.objects.filter(
    (each) =>
      (kind === undefined || each.kind.toLowerCase() === kind.toLowerCase()) &&
      (name === undefined || each.name === name),
  );
  const isMissing = objects.length === 0 && kind !== undefined;
  return isMissing
    ? Result.err(noObject([kind, name].filter((each) => each !== undefined).join('/')))
    : Result.ok({ ...inForce, objects });
}

function noObject(what: string): ServiceError {
  return new ServiceError(ErrorKind.NotFound, `no object ${what} is in force`, {
    remedy: 'list the objects with tanagerctl get',
  });
}

function readSet(files: readonly string[]): Result<ObjectSet, ServiceError> {
  return readConfigurationFiles(files).andThen((objects) => {
    const set = ObjectSet.of(objects);
    const findings = checkObjects(set).map(describeFinding);
    return findings.length === 0
      ? Result.ok(set)
      : Result.err(
          new ServiceError(ErrorKind.CheckFailed, `${findings.length} finding(s)`, {
            remedy: 'correct each finding',
            findings,
          }),
        );
  });
}

function renderObjects({ digest, objects, offset }: ObjectsInForce, isFull: boolean): string {
  if (isFull) {
    return stringify({ objects }).trimEnd();
  }
  const keys = objects.map((each) => `  ${objectKey(each)}`).sort();
  return [`offset ${offset}, digest ${digest}`, ...keys].join('\n');
}
