/** Options and clients shared by all commands. Tokens are read from the environment only. */
import { SystemClock, SystemRandom } from '@tanagerdyke/kernel';
import { CallerClient } from '../CallerClient.js';
import { OperatorClient } from '../OperatorClient.js';

const DEFAULT_ADDRESS = 'http://127.0.0.1:7400';

/** Options that every command takes. */
export interface CommonOptions {
  readonly address?: string;
  readonly json?: boolean;
}

export const clock = new SystemClock();
export const random = new SystemRandom();

export function addressOf(options: CommonOptions): string {
  return options.address ?? process.env.TANAGER_ADDRESS ?? DEFAULT_ADDRESS;
}

export function isJson(options: CommonOptions): boolean {
  return options.json === true;
}

/** Creates the operator's client; its token is read from TANAGER_OPERATOR_TOKEN. */
export function operatorClient(options: CommonOptions): OperatorClient {
  return operatorClientAt(addressOf(options));
}

/** Parses an option as a whole number from 0; else throws, which `main` prints as a usage error. */
export function readCount(value: unknown, name: string): number {
  const count = Number(value);
  if (!Number.isSafeInteger(count) || count < 0) {
    throw new Error(`--${name} is '${String(value)}'; give a whole number`);
  }
  return count;
}

/** Returns an option as text; `cac` parses options that consist of digits as numbers. */
export function readText(value: unknown): string | undefined {
  return typeof value === 'string' || typeof value === 'number' ? String(value) : undefined;
}

/** Creates the operator's client for a given address. */
export function operatorClientAt(address: string): OperatorClient {
  return new OperatorClient(address, process.env.TANAGER_OPERATOR_TOKEN ?? '');
}

/** Creates the caller's client; its token is read from TANAGER_TOKEN. */
export function callerClient(options: CommonOptions): CallerClient {
  return new CallerClient({
    clock,
    seeds: [addressOf(options)],
    token: process.env.TANAGER_TOKEN ?? '',
    random: () => random.next(),
  });
}
