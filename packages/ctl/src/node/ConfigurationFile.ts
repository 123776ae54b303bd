/** Reads configuration objects from YAML files: a list of objects under `objects`. */
import { readFileSync } from 'node:fs';
import { type ConfigurationObject, objectSchema } from '@tanagerdyke/configuration';
import { describeCause, ErrorKind, parseSettings, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import * as z from 'zod';

const fileSchema = z.strictObject({ objects: z.array(objectSchema) });

/** Returns the objects of all files, in order. */
export function readConfigurationFiles(
  files: readonly string[],
): Result<readonly ConfigurationObject[], ServiceError> {
  const objects: ConfigurationObject[] = [];
  for (const file of files) {
    const read = readConfigurationFile(file);
    if (read.isErr) {
      return read;
    }
    objects.push(...read.value);
  }
  return Result.ok(objects);
}

function readConfigurationFile(file: string): Result<readonly ConfigurationObject[], ServiceError> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    return Result.err(
      new ServiceError(ErrorKind.NotFound, `${file}: ${describeCause(error)}`, {
        remedy: 'name a file that exists and can be read',
        cause: error,
      }),
    );
  }
  return parseSettings(text, fileSchema, file).map(({ objects }) => objects);
}
