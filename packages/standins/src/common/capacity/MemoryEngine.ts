/**
 * Minimal in-memory engine and service for capacity runs. The engine answers every request
 * immediately with one token and stores nothing, so that a run measures the cost of the nodes and
 * not of the engine.
 */
import type {
  CacheEvent,
  Engine,
  EngineFrame,
  EngineRequest,
  HeldItem,
  LoadReport,
  Service,
  ServiceAnswer,
} from '@tanagerdyke/contracts';
import type { ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';

const MEMORY_TOKENS = 2_000_000;
const OK_STATUS = 200;

/** Completes every request with a single token and reports an idle state. */
export class MemoryEngine implements Engine {
  /** Number of state requests (load, cache events, held items) to all engines of the process. */
  public static stateRequests = 0;

  constructor(private readonly _versions: readonly string[]) {}

  public async *generate(request: EngineRequest): AsyncIterable<Result<EngineFrame, ServiceError>> {
    const frame = { id: request.id, position: request.fromPosition, tokens: ['t'], isLast: true };
    yield await Promise.resolve(Result.ok(frame));
  }

  public load(): Promise<Result<LoadReport, ServiceError>> {
    MemoryEngine.stateRequests++;
    return Promise.resolve(
      Result.ok({
        incarnation: '1',
        running: 0,
        queued: 0,
        queuedPrefillTokens: 0,
        memoryTokens: MEMORY_TOKENS,
        memoryUsedTokens: 0,
        versions: this._versions,
        leaving: false,
      }),
    );
  }

  public cacheEvents(): Promise<Result<readonly CacheEvent[], ServiceError>> {
    MemoryEngine.stateRequests++;
    return Promise.resolve(Result.ok([]));
  }

  public held(): Promise<Result<readonly HeldItem[], ServiceError>> {
    MemoryEngine.stateRequests++;
    return Promise.resolve(Result.ok([]));
  }

  public hold(): Promise<Result<void, ServiceError>> {
    return succeed();
  }

  public free(): Promise<Result<void, ServiceError>> {
    return succeed();
  }

  public exportCache(): Promise<Result<void, ServiceError>> {
    return succeed();
  }

  public importCache(): Promise<Result<void, ServiceError>> {
    return succeed();
  }

  public order(): Promise<Result<void, ServiceError>> {
    return succeed();
  }
}

/** A service that accepts every call. */
export class MemoryService implements Service {
  public call(): Promise<Result<ServiceAnswer, ServiceError>> {
    return Promise.resolve(Result.ok({ status: OK_STATUS, body: '{"accepted":true}' }));
  }

  public lookUp(): Promise<Result<ServiceAnswer | undefined, ServiceError>> {
    return Promise.resolve(Result.ok(undefined));
  }
}

function succeed(): Promise<Result<void, ServiceError>> {
  return Promise.resolve(Result.ok(undefined));
}
