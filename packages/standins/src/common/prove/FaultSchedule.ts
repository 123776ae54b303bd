/**
 * A seeded schedule of the faults of a proof run: what fails, when and for how long. The same seed,
 * duration and kinds give the same schedule. Faults may overlap.
 */
import { SeededRandom } from '@tanagerdyke/kernel';

/** The kinds of faults. The values are the names accepted by `--fault`. */
export enum FaultKind {
  KillDaemon = 'kill-daemon',
  KillEngine = 'kill-engine',
  KillService = 'kill-service',
  FreezeDaemon = 'freeze-daemon',
  FreezeEngine = 'freeze-engine',
  FreezeService = 'freeze-service',
  AsymmetricCut = 'asymmetric-cut',
  ZoneCut = 'zone-cut',
  PlatformCut = 'platform-cut',
  Loss = 'loss',
  PlatformDown = 'platform-down',
  PlatformSlow = 'platform-slow',
  LostAnswers = 'lost-answers',
  LostRequests = 'lost-requests',
  LostServiceAnswers = 'lost-service-answers',
  Expiry = 'expiry',
  RacingOperators = 'racing-operators',
  LeavingByConfiguration = 'leaving-by-configuration',
  LeavingByHostList = 'leaving-by-host-list',
  LeavingByTarget = 'leaving-by-target',
  RollingRestart = 'rolling-restart',
  DuplicateCallers = 'duplicate-callers',
}

/** One scheduled fault. */
export interface Fault {
  readonly kind: FaultKind;
  /** Start of the fault, since the start of the load. */
  readonly atMs: number;
  readonly durationMs: number;
  /** Random number that selects what fails, modulo the number of candidates. */
  readonly selector: number;
}

interface DurationRange {
  readonly minMs: number;
  readonly maxMs: number;
}

const INSTANT: DurationRange = { minMs: 0, maxMs: 0 };
const OUTAGE: DurationRange = { minMs: 2_000, maxMs: 12_000 };
const FREEZE: DurationRange = { minMs: 3_000, maxMs: 30_000 };
const RESTART: DurationRange = { minMs: 500, maxMs: 4_000 };
const LEAVING: DurationRange = { minMs: 10_000, maxMs: 15_000 };
/** Longer than the other leaving periods, because the host list shows a change 20 s late. */
const LEAVING_BY_HOST_LIST: DurationRange = { minMs: 30_000, maxMs: 35_000 };

const DURATIONS: Record<FaultKind, DurationRange> = {
  [FaultKind.KillDaemon]: RESTART,
  [FaultKind.KillEngine]: RESTART,
  [FaultKind.KillService]: RESTART,
  [FaultKind.FreezeDaemon]: FREEZE,
  [FaultKind.FreezeEngine]: FREEZE,
  [FaultKind.FreezeService]: FREEZE,
  [FaultKind.AsymmetricCut]: OUTAGE,
  [FaultKind.ZoneCut]: OUTAGE,
  [FaultKind.PlatformCut]: OUTAGE,
  [FaultKind.Loss]: OUTAGE,
  [FaultKind.PlatformDown]: OUTAGE,
  [FaultKind.PlatformSlow]: OUTAGE,
  [FaultKind.LostAnswers]: OUTAGE,
  [FaultKind.LostRequests]: OUTAGE,
  [FaultKind.LostServiceAnswers]: OUTAGE,
  [FaultKind.Expiry]: INSTANT,
  [FaultKind.RacingOperators]: INSTANT,
  [FaultKind.LeavingByConfiguration]: LEAVING,
  [FaultKind.LeavingByHostList]: LEAVING_BY_HOST_LIST,
  [FaultKind.LeavingByTarget]: LEAVING,
  [FaultKind.RollingRestart]: INSTANT,
  [FaultKind.DuplicateCallers]: INSTANT,
};

const FIRST_FAULT_AT_MS = 1_000;
const MIN_GAP_MS = 250;
/** Mean of the exponentially distributed time that is added to `MIN_GAP_MS`. */
const MEAN_RANDOM_GAP_MS = 2_500;
const SELECTOR_RANGE = 1_000_000;

/** Plans the faults of a run in order of time. All of `kinds` are equally likely. */
export function planFaults(
  seed: number,
  durationMs: number,
  kinds: readonly FaultKind[],
): readonly Fault[] {
  const random = new SeededRandom(seed);
  const faults: Fault[] = [];
  let atMs = FIRST_FAULT_AT_MS;
  while (atMs < durationMs && kinds.length > 0) {
    const kind = kinds[random.integer(kinds.length)] ?? FaultKind.KillDaemon;
    const { minMs, maxMs } = DURATIONS[kind];
    const faultDurationMs = Math.round(minMs + random.next() * (maxMs - minMs));
    faults.push({
      kind,
      atMs,
      durationMs: faultDurationMs,
      selector: random.integer(SELECTOR_RANGE),
    });
    atMs += Math.round(MIN_GAP_MS - Math.log(1 - random.next()) * MEAN_RANDOM_GAP_MS);
  }
  return faults;
}

/**
 * Parses the value of `--fault`: `all`, `none` or a comma-separated list of names. Returns
 * `undefined` if a name is unknown.
 */
export function parseFaultKinds(name: string): readonly FaultKind[] | undefined {
  const all = Object.values(FaultKind);
  if (name === 'all') {
    return all;
  }
  if (name === 'none') {
    return [];
  }
  const kindsByName = new Map<string, FaultKind>(all.map((kind) => [kind, kind]));
  const kinds = name.split(',').map((each) => kindsByName.get(each));
  return kinds.every((kind) => kind !== undefined) ? kinds : undefined;
}
