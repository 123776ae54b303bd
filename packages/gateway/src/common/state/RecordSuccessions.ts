/**
 * Which records of the configuration and of targets stay valid after the platform restored its log
 * from an older copy: those that state what was confirmed and can't be undone.
 */
import type { RecordDecoder } from '../services/Services.js';
import type { RecordSuccession } from './KeyedTable.js';

/**
 * A newer version of the configuration outlasts an older one, its removal and its loss. The
 * evacuation of a zone outlasts its loss, but neither a record nor a removal that was written since.
 */
export function configurationSuccession(decoder: RecordDecoder): RecordSuccession {
  const versionOf = (key: string, value: Buffer | undefined): number =>
    value === undefined || !decoder.isConfiguration(key)
      ? Number.NEGATIVE_INFINITY
      : decoder.configuration(value).mapOr(Number.NEGATIVE_INFINITY, ({ version }) => version);
  const outlasts = (key: string, earlier: Buffer, later: Buffer | undefined): boolean =>
    versionOf(key, earlier) > versionOf(key, later);
  return {
    outlasts,
    outlastsLoss: (key, earlier) =>
      decoder.evacuatedZone(key) !== undefined || outlasts(key, earlier, undefined),
  };
}

/**
 * The entry of a target outlasts that of an instance which started before it, and that of the same
 * instance before it began to drain. A lost entry does not stay: its target writes it again.
 */
export function targetSuccession(decoder: RecordDecoder): RecordSuccession {
  return {
    outlasts: (key, earlier, later) => {
      const before = decoder.target(key, earlier);
      if (before.isErr || later === undefined) {
        return false;
      }
      const after = decoder.target(key, later);
      if (after.isErr) {
        return true;
      }
      const { isDraining, startedAt } = before.value;
      return startedAt === after.value.startedAt
        ? isDraining && !after.value.isDraining
        : (startedAt ?? 0) > (after.value.startedAt ?? 0);
    },
    outlastsLoss: () => false,
  };
}
