/**
 * The command line of `tanagerd`: loads the settings, runs one node and shuts it down on signals.
 * The dependencies that a proof run replaces are passed in.
 */
import {
  type Clock,
  createLogger,
  LogLevel,
  Metrics,
  onBackgroundFailure,
  onOutputFailure,
  ProcessSignals,
  setLogNamespaces,
  SystemClock,
  SystemRandom,
  type ServiceError,
} from '@tanagerdyke/kernel';
import type { TargetAdapters } from '@tanagerdyke/contracts';
import { SocketTransport, type Transport } from '@tanagerdyke/mesh';
import type { PolicyRegistry } from '@tanagerdyke/serving';
import { cac } from 'cac';
import type { Settings } from '../common/Settings.js';
import { type Platform, platforms, targetAdapters } from './adapters/register.js';
import { exitOnUncaughtErrors } from './UncaughtErrors.js';
import { HttpServer } from './http/HttpServer.js';
import { DEFAULT_MECHANISMS, type MechanismFactories } from './MechanismFactories.js';
import { createNode, policies } from './Node.js';
import { type LoadedSettings, loadSettings } from './SettingsLoader.js';
import { drainOnSignal } from './SignalDrain.js';

const VERSION = '0.1.0';
const EXIT_USAGE = 2;

/** Dependencies of a daemon that another program may wrap or replace. */
export interface DaemonDependencies {
  readonly wrapTransport: (transport: Transport, clock: Clock, settings: Settings) => Transport;
  readonly wrapPlatform: (platform: Platform, clock: Clock) => Platform;
  readonly policies: PolicyRegistry;
  readonly targets: TargetAdapters;
  readonly mechanisms: MechanismFactories;
}

/** The dependencies of a daemon in production. */
export const DEFAULT_DEPENDENCIES: DaemonDependencies = {
  wrapTransport: (transport) => transport,
  wrapPlatform: (platform) => platform,
  policies,
  targets: targetAdapters,
  mechanisms: DEFAULT_MECHANISMS,
};

/**
 * Parses the arguments and runs the daemon; the process exits once the node has drained. Returns
 * without starting a node for `--help`, `--version` and `--check`, and with the exit code set on
 * wrong usage or settings.
 */
export async function runDaemon(
  argv: readonly string[],
  dependencies: DaemonDependencies,
): Promise<void> {
  const cli = cac('tanagerd');
  cli.option('--settings <file>', 'YAML file with the settings of this node');
  cli.option('--check', 'check the settings file and exit');
  cli.help();
  cli.version(VERSION);
  const { options } = cli.parse([...argv]);
  if (options.help === true || options.version === true) {
    return;
  }
  const file: unknown = options.settings;
  if (typeof file !== 'string') {
    process.stderr.write('tanagerd: no settings file; use --settings FILE\n');
    process.exitCode = EXIT_USAGE;
    return;
  }
  const loaded = loadSettings(file);
  if (loaded.isErr) {
    reportSettingsError(loaded.error);
    return;
  }
  if (options.check === true) {
    process.stdout.write(`${file}: ok\n`);
    return;
  }
  await runNode(loaded.value, dependencies);
}

async function runNode(
  { settings, operatorToken }: LoadedSettings,
  dependencies: DaemonDependencies,
): Promise<void> {
  const signals = new ProcessSignals();
  setLogNamespaces(process.env.DEBUG ?? settings.logs.namespaces);
  const clock = new SystemClock();
  const logger = createLogger(clock, settings.node.name, 'process');
  exitOnUncaughtErrors(process, logger, (code) => process.exit(code));
  const platform = platforms.find(settings.platform.adapter);
  if (platform.isErr) {
    reportSettingsError(platform.error);
    return;
  }
  const metrics = new Metrics();
  onOutputFailure(({ code, stream }) => {
    metrics.increment('tanager_output_failures_total', { code, stream });
  });
  onBackgroundFailure(({ error, work }) => {
    metrics.increment('tanager_background_failures_total', { work });
    const stack = error instanceof Error ? error.stack : String(error);
    logger.log(LogLevel.Error, 'background work failed', { work, stack });
  });
  const [host, port] = settings.listen.peer.split(':');
  const sockets = await SocketTransport.listen(clock, host ?? '', Number(port), {
    count: (bytes) => {
      metrics.increment('tanager_peer_bytes_sent_total', {}, bytes);
    },
  });
  sockets.onLinkSilent(({ address, pending, silenceMs }) => {
    metrics.increment('tanager_silent_links_total');
    logger.log(LogLevel.Info, 'link silent', { peer: address, pending, silenceMs });
  });
  const transport = dependencies.wrapTransport(sockets, clock, settings);
  const node = createNode({
    clock,
    random: new SystemRandom(),
    transport,
    platform: dependencies.wrapPlatform(platform.value(settings.platform), clock),
    targets: dependencies.targets,
    policies: dependencies.policies,
    mechanisms: dependencies.mechanisms,
    settings,
    metrics,
  });
  const server = await HttpServer.listen(node, operatorToken);
  node.start();
  logger.log(LogLevel.Info, 'listening', {
    caller: settings.listen.caller,
    peer: transport.address,
  });
  await drainOnSignal(node, signals, logger);
  await server.close();
  node.dispose();
  transport.dispose();
  process.exit(0);
}

function reportSettingsError(error: ServiceError): void {
  process.stderr.write(`tanagerd: ${error.message}\nremedy: ${error.remedy}\n`);
  process.exitCode = EXIT_USAGE;
}
