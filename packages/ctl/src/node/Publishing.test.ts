/** Tests publishing with a client that returns scripted answers. */
import { type ConfigurationObject, objectSchema, ObjectSet } from '@tanagerdyke/configuration';
import { ErrorKind, ManualClock, NotRun, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { describe, expect, it } from 'vitest';
import type { DaemonStatus } from './OperatorClient.js';
import { awaitRollout, publishSet, type PublishingClient } from './Publishing.js';

function model(name: string): ConfigurationObject {
  return objectSchema.parse({ kind: 'Model', name, maxPromptTokens: 1 });
}

function conflict(): ServiceError {
  const details = { remedy: 'publish again', notRun: NotRun.True };
  return new ServiceError(ErrorKind.Conflict, 'another change came first', details);
}

/** A client whose configuration and member offset change with each request. */
class ScriptedClient implements PublishingClient {
  public readonly bases: number[] = [];
  private _configurationReads = 0;
  private _polls = 0;

  constructor(
    private readonly _sets: readonly (readonly ConfigurationObject[])[],
    private readonly _offsets: readonly number[],
    private readonly _losesRace: boolean,
  ) {}

  public configuration: PublishingClient['configuration'] = () => {
    const offset = Math.min(this._configurationReads++, this._sets.length - 1);
    return Promise.resolve(Result.ok({ offset, digest: '', objects: this._sets[offset] ?? [] }));
  };

  public publish: PublishingClient['publish'] = (id, base) => {
    this.bases.push(base);
    const accepted = { id, offset: base + 1, digest: '' };
    return Promise.resolve(this._losesRace ? Result.err(conflict()) : Result.ok(accepted));
  };

  public status: PublishingClient['status'] = () => {
    const configurationOffset = this._offsets[this._polls++] ?? this._offsets.at(-1) ?? 0;
    const state = {
      configurationOffset,
      configurationDigest: '',
      isReady: true,
      isDraining: false,
    };
    const status: DaemonStatus = {
      node: 'a',
      incarnation: 1,
      isReady: true,
      isDraining: false,
      configuration: { offset: 0, digest: '' },
      running: 0,
      violations: 0,
      wallTime: 0,
      members: [
        {
          name: 'a',
          callerAddress: '',
          availabilityZone: 'z',
          incarnation: 1,
          status: 'alive',
          state,
        },
      ],
    };
    return Promise.resolve(Result.ok(status));
  };
}

const chooseSet = (): Result<ObjectSet, ServiceError> => Result.ok(ObjectSet.of([model('mine')]));

describe('publishSet', () => {
  it('publishes against the offset that it read', async () => {
    const client = new ScriptedClient([[]], [], false);
    expect((await publishSet(client, 'i', chooseSet)).isOk).toBe(true);
    expect(client.bases).toEqual([0]);
  });

  it('reports what the winner of a race changed, and publishes nothing more', async () => {
    const client = new ScriptedClient([[model('old')], [model('theirs')]], [], true);
    const lost = await publishSet(client, 'i', chooseSet);
    expect(lost.isErr && lost.error.kind).toBe(ErrorKind.Conflict);
    expect(lost.isErr && lost.error.findings).toEqual(['+ Model/theirs', '- Model/old']);
    expect(client.bases).toHaveLength(1);
  });
});

describe('awaitRollout', () => {
  it('polls until the offset is in force on every node', async () => {
    const clock = new ManualClock();
    const pending = awaitRollout(new ScriptedClient([], [1, 1, 2], false), clock, 2, 5_000);
    await clock.advance(1_000);
    const rollout = await pending;
    expect(rollout.isOk && rollout.value.laggards).toEqual([]);
  });

  it('returns the nodes that are behind when the wait is over', async () => {
    const clock = new ManualClock();
    const pending = awaitRollout(new ScriptedClient([], [1], false), clock, 2, 500);
    await clock.advance(1_000);
    const rollout = await pending;
    const laggard = { node: 'a', configurationOffset: 1 };
    expect(rollout.isOk && rollout.value.laggards).toEqual([laggard]);
  });
});
