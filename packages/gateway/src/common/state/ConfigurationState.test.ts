import { ErrorKind, ManualClock, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { beforeEach, describe, expect, it } from 'vitest';
import { DecisionLog } from '../DecisionLog.js';
import { CallKind, type ForwardingConfiguration, type ForwardRoute } from '../Messages.js';
import type { RecordDecoder } from '../services/Services.js';
import { ConfigurationState } from './ConfigurationState.js';
import { KeyedTable } from './KeyedTable.js';

const unreadable = new ServiceError(ErrorKind.BadRequest, 'unreadable', { remedy: 'none' });

function routeOf(pathPrefix: string): ForwardRoute {
  return {
    name: pathPrefix,
    host: 'h',
    pathPrefix,
    kind: CallKind.Idempotent,
    timeoutMs: 1_000,
    latencyTargetMs: 200,
    pauseTargetMs: 200,
    maxAttempts: 1,
    allowsAnonymous: false,
    allowedRegions: undefined,
    isResumable: false,
    priority: 1,
    shares: [{ service: 's', weight: 1 }],
  };
}

/** A configuration whose version is the text of its record. */
function configurationOf(text: string): ForwardingConfiguration {
  return {
    version: Number(text),
    routes: [routeOf('/'), routeOf('/a/b/'), routeOf('/a/')],
    services: [{ name: 's', maxConnections: 10, warmUp: undefined, engine: undefined }],
    requiresKeys: true,
    workspaces: [
      { name: 'w', keys: [`key-${text}`], priority: undefined, allowedRegions: undefined },
    ],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  };
}

const decoder: RecordDecoder = {
  isConfiguration: (key) => key === 'config',
  evacuatedZone: () => undefined,
  configuration: (value) => {
    const text = value.toString();
    return /^\d+$/.test(text) ? Result.ok(configurationOf(text)) : Result.err(unreadable);
  },
  target: () => Result.err(unreadable),
};

describe('ConfigurationState', () => {
  let records: KeyedTable;
  let state: ConfigurationState;
  let offset: number;

  beforeEach(() => {
    offset = 0;
    records = new KeyedTable('configuration');
    const log = new DecisionLog(new ManualClock(), 'n', () => true);
    state = new ConfigurationState(records, decoder, log);
  });

  function write(text: string, key = 'config'): void {
    records.apply([{ key, offset: offset++, value: Buffer.from(text) }], offset);
  }

  it('has no configuration and no route at first', () => {
    expect(state.current).toBeUndefined();
    expect(state.findRoute('h', '/')).toBeUndefined();
  });

  it('applies newer versions and ignores older ones', () => {
    write('7');
    write('9');
    write('8');
    expect(state.current?.version).toBe(9);
    expect(state.findWorkspace('key-9')?.name).toBe('w');
    expect(state.findWorkspace('key-7')).toBeUndefined();
  });

  it('keeps the version in force when a record is unreadable or has another key', () => {
    write('7');
    write('not a configuration');
    write('8', 'other');
    expect(state.current?.version).toBe(7);
  });

  describe('findRoute', () => {
    it.each([
      ['/a/b/c', '/a/b/'],
      ['/a/x', '/a/'],
      ['/x', '/'],
    ])('returns, for %s, the route with the longest matching prefix, %s', (path, prefix) => {
      write('1');
      expect(state.findRoute('h', path)?.pathPrefix).toBe(prefix);
      expect(state.findRoute('other', path)).toBeUndefined();
    });
  });
});
