/** Loads the settings file and the secrets that it refers to. Secrets are never printed. */
import { readFileSync } from 'node:fs';
import { describeCause, ErrorKind, parseSettings, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import type * as z from 'zod';
import {
  SECRET_KEYS,
  type SecretSource,
  type Settings,
  settingsSchema,
} from '../common/Settings.js';
import { platforms } from './adapters/register.js';

/** Settings with their secrets resolved. */
export interface LoadedSettings {
  readonly settings: Settings;
  readonly operatorToken: string;
}

const MIN_TOKEN_CHARACTERS = 16;

/** Reads and checks a settings file and its secrets. One error reports all problems. */
export function loadSettings(
  file: string,
  environment: NodeJS.ProcessEnv = process.env,
): Result<LoadedSettings, ServiceError> {
  return readText(file).andThen((text) => parseAndResolve(text, file, environment));
}

function parseAndResolve(
  text: string,
  source: string,
  environment: NodeJS.ProcessEnv,
): Result<LoadedSettings, ServiceError> {
  const schema = settingsSchema.transform((settings, context): LoadedSettings => {
    checkAdapter(settings, context);
    const operatorToken = readSecret(settings.operatorToken, environment);
    if (operatorToken.isErr) {
      const key = settings.operatorToken.file === undefined ? 'environment' : 'file';
      const path = ['operatorToken', key];
      context.addIssue({ code: 'custom', path, message: operatorToken.error });
    }
    return { settings, operatorToken: operatorToken.unwrapOr('') };
  });
  return parseSettings(text, schema, source, SECRET_KEYS);
}

function checkAdapter(settings: Settings, context: z.RefinementCtx): void {
  const adapter = platforms.find(settings.platform.adapter);
  if (adapter.isErr) {
    const path = ['platform', 'adapter'];
    context.addIssue({ code: 'custom', path, message: adapter.error.remedy });
  }
}

/** Reads a secret. The error text names its location and the remedy. */
function readSecret(source: SecretSource, environment: NodeJS.ProcessEnv): Result<string, string> {
  const location =
    source.file === undefined ? `variable ${source.environment ?? ''}` : `file '${source.file}'`;
  const text =
    source.file === undefined
      ? Result.ok<string, string>(environment[source.environment ?? ''] ?? '')
      : readText(source.file).mapErr(() => `${location} can't be read; name one that exists`);
  return text.andThen((value) => {
    const secret = value.trim();
    return secret.length >= MIN_TOKEN_CHARACTERS
      ? Result.ok(secret)
      : Result.err(
          `${location} must hold at least ${MIN_TOKEN_CHARACTERS} characters; put a token there`,
        );
  });
}

function readText(file: string): Result<string, ServiceError> {
  try {
    return Result.ok(readFileSync(file, 'utf8'));
  } catch (error) {
    return Result.err(
      new ServiceError(ErrorKind.NotFound, `${file}: ${describeCause(error)}`, {
        remedy: 'name a file that exists and can be read',
        cause: error,
      }),
    );
  }
}
