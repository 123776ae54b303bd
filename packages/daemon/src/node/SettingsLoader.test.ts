/**
 * Tests that each problem of a settings file is reported with its line, the value found and a
 * remedy.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import fc from 'fast-check';
import { afterAll, describe, expect, it } from 'vitest';
import { stringify } from 'yaml';
import { loadSettings } from './SettingsLoader.js';

const SEED = 7;
const RUNS = 300;
const SECRET = 'a-secret-that-nobody-may-see';
const ENVIRONMENT = { OPERATOR_TOKEN: SECRET };
const directory = mkdtempSync(join(tmpdir(), 'tanagerdyke-settings-'));
const FILE = join(directory, 'node.yaml');

afterAll(() => {
  rmSync(directory, { recursive: true });
});

const VALID = `node:
  name: node-0
  region: pt-norte
  availabilityZone: braga-a
listen:
  caller: 127.0.0.1:7400
  peer: 127.0.0.1:7500
platform:
  adapter: http
  log: http://127.0.0.1:1
  hostList: http://127.0.0.1:2
  weightStore: http://127.0.0.1:3
operatorToken:
  environment: OPERATOR_TOKEN
`;

function load(text: string, environment: NodeJS.ProcessEnv = ENVIRONMENT) {
  writeFileSync(FILE, text);
  return loadSettings(FILE, environment);
}

/** The findings of a settings text, without the name of the file. */
function findingsOf(text: string, environment?: NodeJS.ProcessEnv): readonly string[] {
  const loaded = load(text, environment);
  return loaded.isErr ? loaded.error.findings.map((each) => each.replace(`${FILE}:`, '')) : [];
}

describe('loadSettings', () => {
  it('fills in defaults and reads the secret from the environment', () => {
    const loaded = load(VALID);
    expect(loaded.isOk && loaded.value.operatorToken).toBe(SECRET);
    expect(loaded.isOk && loaded.value.settings.drain.timeoutMs).toBe(120_000);
  });

  it('reads the secret from a file', () => {
    const secretFile = join(directory, 'token');
    writeFileSync(secretFile, `${SECRET}\n`);
    const text = VALID.replace('environment: OPERATOR_TOKEN', `file: ${secretFile}`);
    const loaded = load(text, {});
    expect(loaded.isOk && loaded.value.operatorToken).toBe(SECRET);
  });

  it('reports the name of a file that does not exist', () => {
    const loaded = loadSettings(join(directory, 'none.yaml'));
    expect(loaded.isErr && loaded.error.message).toContain('none.yaml: ENOENT');
  });

  it.each([
    [
      'an unknown key',
      `${VALID}limits:\n  bodyByte: 1\n`,
      '16: limits.bodyByte: unknown key; remove it or correct its spelling',
    ],
    [
      'a wrong type',
      VALID.replace('node-0', '[a]'),
      '2: node.name: found a list; invalid input: expected string, received array',
    ],
    [
      'a duration with a unit',
      `${VALID}drain:\n  timeoutMs: 5s\n`,
      '16: drain.timeoutMs: found "5s"; give milliseconds as a number without a unit',
    ],
    [
      'a port out of range',
      VALID.replace(':7400', ':74000'),
      '6: listen.caller: found "127.0.0.1:74000"; use IP:port with an IP number and a port from 1 to 65535',
    ],
    [
      'an adapter that is not registered',
      VALID.replace('adapter: http', 'adapter: other'),
      '9: platform.adapter: found "other"; use one of: http',
    ],
    [
      'the same port for callers and peers',
      VALID.replace(':7500', ':7400'),
      '7: listen.peer: found "127.0.0.1:7400"; callers use this address too; use another port',
    ],
    [
      'a header timeout over the request timeout',
      `${VALID}limits:\n  headersTimeoutMs: 9000\n  requestTimeoutMs: 8000\n`,
      '16: limits.headersTimeoutMs: found 9000; it is longer than requestTimeoutMs of 8000; lower it',
    ],
    [
      'a secret written into the settings file',
      VALID.replace('environment: OPERATOR_TOKEN', `environment: ${SECRET}`),
      '14: operatorToken.environment: found a value that is not shown; name an environment variable, not the secret itself',
    ],
    [
      'a missing secret file',
      VALID.replace('environment: OPERATOR_TOKEN', 'file: /nowhere/token'),
      "14: operatorToken.file: found a value that is not shown; file '/nowhere/token' can't be read; name one that exists",
    ],
    [
      'an alias',
      `${VALID}logs: &a\n  namespaces: x\ndrain: *a\n`,
      '1: document: Alias resolution is disabled; write values out, without aliases',
    ],
  ])('reports %s', (_name, text, expected) => {
    expect(findingsOf(text)).toEqual([expected]);
  });

  it('reports an environment variable that is not set', () => {
    expect(findingsOf(VALID, {})[0]).toContain('variable OPERATOR_TOKEN must hold at least 16');
  });

  it('reports all problems in one error', () => {
    const text = VALID.replace('node-0', 'NODE').replace(':7400', '').replace('log:', 'logs:');
    expect(findingsOf(text)).toHaveLength(4);
  });

  it.each([`operatorToken: ${SECRET}`, `operatorToken:\n  value: ${SECRET}`, `[${SECRET}`])(
    'prints no secret when it refuses %j',
    (text) => {
      const loaded = load(text);
      expect(loaded.isErr).toBe(true);
      expect(loaded.isErr && `${loaded.error.message}${loaded.error.remedy}`).not.toContain(SECRET);
    },
  );

  it('does not throw for arbitrary file contents', () => {
    const texts = fc.oneof(
      fc.string({ unit: 'binary' }),
      fc.jsonValue().map((each) => stringify(each)),
      mutatedSettings(),
    );
    fc.assert(
      fc.property(texts, (text) => {
        load(text);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });
});

/** The valid settings with one substring replaced by random characters. */
function mutatedSettings(): fc.Arbitrary<string> {
  const places = fc.tuple(fc.nat(VALID.length), fc.nat(9), fc.string({ maxLength: 9 }));
  return places.map(
    ([at, length, text]) => `${VALID.slice(0, at)}${text}${VALID.slice(at + length)}`,
  );
}
