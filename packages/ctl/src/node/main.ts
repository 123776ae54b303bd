/** The command line of `tanagerctl`; the modules in `commands` register its commands. */
import { cac } from 'cac';
import { registerCallerCommands } from './commands/CallerCommands.js';
import { registerConfigurationCommands } from './commands/ConfigurationCommands.js';
import { registerGatewayCommands } from './commands/GatewayCommands.js';
import { registerNodeCommands } from './commands/NodeCommands.js';
import { registerTimeLineCommand } from './commands/TimeLineCommand.js';
import { printUsage } from './Output.js';

const VERSION = '0.1.0';

async function main(argv: readonly string[]): Promise<void> {
  const cli = cac('tanagerctl');
  cli.option('--address <url>', 'address of a daemon, http://IP:port; also TANAGER_ADDRESS');
  cli.option('--json', 'print one JSON line');
  registerConfigurationCommands(cli);
  registerGatewayCommands(cli);
  registerNodeCommands(cli);
  registerTimeLineCommand(cli);
  registerCallerCommands(cli);
  cli.help();
  cli.version(VERSION);
  try {
    const { options } = cli.parse([...argv], { run: false });
    if (options.help === true || options.version === true) {
      return;
    }
    if (cli.matchedCommand === undefined) {
      printUsage(`unknown command '${cli.args.join(' ')}'`);
      return;
    }
    await cli.runMatchedCommand();
  } catch (error) {
    printUsage(error instanceof Error ? error.message : String(error));
  }
}

await main(process.argv);
process.exit();
