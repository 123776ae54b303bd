/** Commands of callers: `resolve` and `ask`. */
import { v7 as uuidv7 } from 'uuid';
import type { CAC } from 'cac';
import { print, printError } from '../Output.js';
import { callerClient, type CommonOptions, isJson, readCount } from './CommandContext.js';

const DEFAULT_DEADLINE_MS = 60_000;
const DEFAULT_MAX_TOKENS = 64;

interface AskOptions extends CommonOptions {
  readonly deadline?: number;
  readonly maxTokens?: number;
  readonly key?: string;
}

/** Registers `resolve` and `ask`. */
export function registerCallerCommands(cli: CAC): void {
  cli.command('resolve', 'print the addresses to use').action(async (options: CommonOptions) => {
    const answer = await callerClient(options).addresses();
    if (answer.isErr) {
      printError(answer.error, isJson(options));
      return;
    }
    print(answer.value, isJson(options), ({ addresses, timeToLiveMs }) =>
      [
        ...addresses.map((each) => `${each.address}  ${each.node}  ${each.availabilityZone}`),
        `keep for ${timeToLiveMs} ms`,
      ].join('\n'),
    );
  });

  cli
    .command('ask <route> <text>', 'send a prompt, or a call of a plain service with --key')
    .option('--deadline <ms>', 'time left for the request', { default: DEFAULT_DEADLINE_MS })
    .option('--max-tokens <n>', 'tokens to generate', { default: DEFAULT_MAX_TOKENS })
    .option('--key <uuid>', "idempotency key of a call, or 'new'")
    .action(async (route: string, text: string, options: AskOptions) => {
      await (options.key === undefined
        ? askCompletion(route, text, options)
        : askCall(route, text, options.key, options));
    });
}

async function askCompletion(route: string, text: string, options: AskOptions): Promise<void> {
  const answer = await callerClient(options).complete({
    route,
    prompt: text,
    maxTokens: readCount(options.maxTokens ?? DEFAULT_MAX_TOKENS, 'max-tokens'),
    deadlineMs: readCount(options.deadline ?? DEFAULT_DEADLINE_MS, 'deadline'),
  });
  if (answer.isErr) {
    printError(answer.error, isJson(options));
    return;
  }
  print(answer.value, isJson(options), ({ tokens }) => tokens.join(' '));
}

async function askCall(
  route: string,
  body: string,
  givenKey: string,
  options: AskOptions,
): Promise<void> {
  const key = givenKey === 'new' ? uuidv7() : givenKey;
  const deadlineMs = readCount(options.deadline ?? DEFAULT_DEADLINE_MS, 'deadline');
  const answer = await callerClient(options).call(route, key, body, deadlineMs);
  if (answer.isErr) {
    printError(answer.error, isJson(options));
    return;
  }
  print({ key, ...answer.value }, isJson(options), (value) => `${value.key}\n${value.body}`);
}
