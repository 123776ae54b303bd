/** Commands on running daemons: `status` and `logs`. */
import type { CAC } from 'cac';
import type { DaemonStatus } from '../OperatorClient.js';
import { ExitCode, print, printError } from '../Output.js';
import { type CommonOptions, isJson, operatorClient, operatorClientAt } from './CommandContext.js';

interface LogsOptions extends CommonOptions {
  readonly all?: boolean;
}

/** Registers `status` and `logs`. */
export function registerNodeCommands(cli: CAC): void {
  cli
    .command('status', 'print the state of a daemon and of all members')
    .action(async (options: CommonOptions) => {
      const status = await operatorClient(options).status();
      if (status.isErr) {
        printError(status.error, isJson(options));
        return;
      }
      print(status.value, isJson(options), renderStatus);
    });

  cli
    .command('logs <namespaces>', "set the log namespaces, for example 'tanager:*,-tanager:claims'")
    .option('--all', 'on all live daemons instead of one')
    .action(switchLogs);
}

async function switchLogs(namespaces: string, options: LogsOptions): Promise<void> {
  const client = operatorClient(options);
  const status = await client.status();
  if (status.isErr) {
    printError(status.error, isJson(options));
    return;
  }
  const { members, node } = status.value;
  const selected = members.filter(({ name }) => options.all === true || name === node);
  const failed: string[] = [];
  for (const { callerAddress, name } of selected) {
    const switched = await operatorClientAt(callerAddress).setLogs(namespaces);
    if (switched.isErr) {
      failed.push(`${name}: ${switched.error.message}`);
    }
  }
  const switchedOn = selected.length - failed.length;
  print({ namespaces, switchedOn, failed }, isJson(options), () =>
    [`${namespaces} on ${switchedOn} of ${selected.length} daemons`, ...failed].join('\n'),
  );
  if (failed.length > 0) {
    process.exitCode = ExitCode.Failure;
  }
}

function renderStatus(status: DaemonStatus): string {
  const { offset } = status.configuration;
  const members = status.members.map(
    ({ name, availabilityZone, status: state, state: { configurationOffset, isReady } }) =>
      `  ${name}  ${availabilityZone}  ${state}  offset ${configurationOffset}  ready ${isReady}`,
  );
  return [
    `${status.node}: ready ${status.isReady}, offset ${offset}, running ${status.running}`,
    ...members,
  ].join('\n');
}
