/**
 * Runs the stand-ins of one process. The first argument is a JSON array of their specifications;
 * the process prints `ready` when all of them listen.
 */
import { SeededRandom, SystemClock } from '@tanagerdyke/kernel';
import type { Hono } from 'hono';
import { DEFAULT_PROFILE } from '../common/EngineEmulator.js';
import { createEngineStandIn } from './EngineStandIn.js';
import { createLogStandIn, DEFAULT_LOG_LIMITS } from './LogStandIn.js';
import { createHostListStandIn, createWeightStoreStandIn } from './PlatformStandIn.js';
import { createServiceStandIn } from './ServiceStandIn.js';
import { StandInKind, type StandInSpecification } from './StandInSpecification.js';
import { RecordFile } from './RecordFile.js';
import { listenStandIn } from './StandInServer.js';

const DEFAULT_HOST_LIST_LAG_MS = 5_000;
const DEFAULT_LOADS_PER_MINUTE = 30;
const DEFAULT_LOAD_MS = 1_000;

const clock = new SystemClock();

const createRecordFile = ({ target, recordFile }: StandInSpecification): RecordFile =>
  new RecordFile(clock, target ?? '', recordFile);

const FACTORIES: Record<StandInKind, (specification: StandInSpecification) => Hono> = {
  [StandInKind.Log]: (specification) =>
    createLogStandIn(
      clock,
      new SeededRandom(specification.seed),
      { ...DEFAULT_LOG_LIMITS, ...specification.log },
      createRecordFile(specification),
    ),
  [StandInKind.HostList]: ({ lagMs }) =>
    createHostListStandIn(clock, lagMs ?? DEFAULT_HOST_LIST_LAG_MS),
  [StandInKind.WeightStore]: ({ loadsPerMinute, loadMs }) =>
    createWeightStoreStandIn(
      clock,
      loadsPerMinute ?? DEFAULT_LOADS_PER_MINUTE,
      loadMs ?? DEFAULT_LOAD_MS,
    ),
  [StandInKind.Engine]: (specification) =>
    createEngineStandIn(
      clock,
      new SeededRandom(specification.seed),
      { ...DEFAULT_PROFILE, ...specification.profile },
      specification.weightStore ?? '',
      createRecordFile(specification),
    ),
  [StandInKind.Service]: (specification) =>
    createServiceStandIn(
      clock,
      new SeededRandom(specification.seed),
      specification.offersLookUp ?? false,
      createRecordFile(specification),
    ),
};

const specifications = JSON.parse(process.argv[2] ?? '[]') as StandInSpecification[];
for (const specification of specifications) {
  await listenStandIn(FACTORIES[specification.kind](specification), specification.port);
}
process.stdout.write('ready\n');
