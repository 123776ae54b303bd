/** Tests of publishing the same change twice. */
import { MemoryLog } from '@tanagerdyke/fakes';
import { Emitter, ManualClock, TimeLine } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { ConfigurationPublisher } from './ConfigurationPublisher.js';
import { type ConfigurationInForce } from './ConfigurationRule.js';
import { ObjectSet } from './ObjectSet.js';
import type { ProcessedRecord } from './services/Services.js';

describe('ConfigurationPublisher', () => {
  describe('publish', () => {
    it('accepts an id that already took effect without appending a second record', async () => {
      const clock = new ManualClock();
      const log = new MemoryLog(clock);
      const set = ObjectSet.empty;
      const inForce: ConfigurationInForce = { offset: 7, set, ids: ['change-1'] };
      const onChange = new Emitter<ConfigurationInForce>().event;
      const onRecord = new Emitter<ProcessedRecord>().event;
      const configuration = { inForce, set, isReady: true, onChange, onRecord };
      const timeLine = new TimeLine(clock, 'n');
      const publisher = new ConfigurationPublisher({ clock, log, configuration, timeLine });
      const repeated = await publisher.publish('change-1', { upserts: [], removals: [] }, 6);
      expect(repeated.isOk && repeated.value.offset).toBe(7);
      expect(log.appends).toBe(0);
    });
  });
});
