/** Tests that cached owners follow changes of the members. */
import {
  ObjectSet,
  objectSchema,
  type Configuration,
  type ConfigurationInForce,
} from '@tanagerdyke/configuration';
import { memberOf } from '@tanagerdyke/fakes';
import { Emitter, ManualClock, Registry, TimeLine } from '@tanagerdyke/kernel';
import type { Member, Membership } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import { beforeEach, describe, expect, it } from 'vitest';
import { TargetDirectory } from './TargetDirectory.js';

const host = objectSchema.parse({
  kind: 'Host',
  name: 'h',
  region: 'r',
  availabilityZone: 'z',
  targets: [{ name: 't', kind: 'engine', adapter: 'none', address: 'http://127.0.0.1:1' }],
});

describe('TargetDirectory', () => {
  const memberChanges = new Emitter<Member>();
  const configurationChanges = new Emitter<ConfigurationInForce>();
  let serving: Member[];
  let directory: TargetDirectory;

  function ownerName(): string | undefined {
    const hostedTarget = directory.find('t');
    return hostedTarget && directory.ownerOf(hostedTarget)?.name;
  }

  beforeEach(() => {
    const clock = new ManualClock();
    serving = ['a', 'b', 'c'].map((name, index) => memberOf(name, `127.0.0.1:${index + 1}`));
    const set = ObjectSet.of([host]);
    const membership = {
      get serving() {
        return serving;
      },
      onChange: memberChanges.event,
    } as unknown as Membership;
    const configuration = {
      set,
      onChange: configurationChanges.event,
    } as unknown as Configuration;
    directory = new TargetDirectory({
      clock,
      configuration,
      membership,
      hostList: { list: () => Promise.resolve(Result.ok([])) },
      adapters: { engines: new Registry('engine'), services: new Registry('service') },
      timeLine: new TimeLine(clock, 'a'),
    });
  });

  describe('ownerOf', () => {
    it('moves to another member when the owner stops serving', () => {
      const first = ownerName();
      serving = serving.filter(({ name }) => name !== first);
      memberChanges.fire(memberOf(first ?? '', '127.0.0.1:1'));
      expect(ownerName()).not.toBe(first);
      expect(serving.map(({ name }) => name)).toContain(ownerName());
    });

    it('finds an owner for a target that had none', () => {
      const members = serving;
      serving = [];
      expect(ownerName()).toBeUndefined();
      serving = members;
      memberChanges.fire(memberOf('a', '127.0.0.1:1'));
      expect(ownerName()).toBeDefined();
    });

    it('returns the newest record of the owner', () => {
      const first = ownerName();
      serving = serving.map((each) => ({ ...each, peerAddress: '127.0.0.1:9' }));
      memberChanges.fire(memberOf(first ?? '', '127.0.0.1:9'));
      const hostedTarget = directory.find('t');
      expect(hostedTarget && directory.ownerOf(hostedTarget)?.peerAddress).toBe('127.0.0.1:9');
    });
  });
});
