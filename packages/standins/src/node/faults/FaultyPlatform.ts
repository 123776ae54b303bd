/** Fault injection between one daemon and the platform, for runs on loopback. */
import type { PlatformLog } from '@tanagerdyke/contracts';
import type { Platform } from '@tanagerdyke/daemon';
import { type Clock, ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import type { LinkRules } from '../../common/LinkRules.js';

/** Time after which a request fails while the platform is cut off. */
const CUT_TIMEOUT_MS = 1_000;

/** Wraps a platform so that every request fails while the rules cut this daemon off from it. */
export function createFaultyPlatform(platform: Platform, rules: LinkRules, clock: Clock): Platform {
  const failIfCut = async <T>(
    call: () => Promise<Result<T, ServiceError>>,
  ): Promise<Result<T, ServiceError>> => {
    if (!rules.isPlatformCut) {
      return call();
    }
    await clock.sleep(CUT_TIMEOUT_MS);
    return Result.err(platformCutError());
  };
  const log: PlatformLog = {
    append: (stream, payload) => failIfCut(() => platform.log.append(stream, payload)),
    read: (stream, from, limit, waitMs) =>
      failIfCut(() => platform.log.read(stream, from, limit, waitMs)),
  };
  return {
    log,
    hostList: { list: () => failIfCut(() => platform.hostList.list()) },
    weightStore: {
      loadsPerMinute: () => failIfCut(() => platform.weightStore.loadsPerMinute()),
    },
  };
}

function platformCutError(): ServiceError {
  return new ServiceError(
    ErrorKind.PlatformUnavailable,
    'the platform is cut off by fault injection',
    {
      remedy: 'none; the run injects this fault on purpose',
      notRun: NotRun.True,
    },
  );
}
