/**
 * Sends a request to one address after another, within its deadline and at most `MAX_ATTEMPTS`
 * times, as long as each failure concerns only the address used. A request that is known not to
 * have run may always be retried at another address. One that may have run is retried only because
 * running it again is safe: it is a completion, or a call under the same idempotency key. Once an
 * attempt may have run, no later refusal is reported as "not run".
 */
import { type Clock, ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';

const MAX_ATTEMPTS = 3;

export interface FailoverOptions {
  readonly clock: Clock;
  /** Returns the addresses that are valid now, in the order in which to try them. */
  readonly addresses: () => Promise<Result<readonly string[], ServiceError>>;
  /** Makes the next call of `addresses` fetch them again. */
  readonly invalidateAddresses: () => void;
  /** Time from the call until the deadline. */
  readonly deadlineMs: number;
}

/** Sends the request to one address, with the time that remains until its deadline. */
export type SendToAddress<T> = (
  address: string,
  remainingMs: number,
) => Promise<Result<T, ServiceError>>;

/** Returns the first answer, or the failure of the last attempt. */
export async function sendWithFailover<T>(
  options: FailoverOptions,
  send: SendToAddress<T>,
): Promise<Result<T, ServiceError>> {
  const { clock } = options;
  const deadline = clock.now() + options.deadlineMs;
  const tried = new Set<string>();
  let mayHaveRun = false;
  let failure = noDaemonReachable();
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const resolved = await options.addresses();
    const remainingMs = Math.floor(deadline - clock.now());
    if (remainingMs <= 0) {
      break;
    }
    if (resolved.isErr) {
      failure = resolved.error;
      break;
    }
    const address = resolved.value.find((each) => !tried.has(each)) ?? resolved.value[0] ?? '';
    tried.add(address);
    const result = await send(address, remainingMs);
    if (result.isOk) {
      return result;
    }
    failure = result.error;
    mayHaveRun ||= failure.notRun !== NotRun.True;
    if (!isSpecificToAddress(failure)) {
      break;
    }
    options.invalidateAddresses();
  }
  const isReportedNotRun = failure.notRun === NotRun.True;
  return Result.err(mayHaveRun && isReportedNotRun ? failure.withNotRun(NotRun.Unknown) : failure);
}

/** Whether other addresses may still answer: this node is draining, isolated or unreachable. */
function isSpecificToAddress({ kind }: ServiceError): boolean {
  return [ErrorKind.Draining, ErrorKind.Isolated, ErrorKind.LinkFailed].includes(kind);
}

/** The error when no daemon listed an address, or the time was up before the first attempt. */
export function noDaemonReachable(): ServiceError {
  return new ServiceError(ErrorKind.LinkFailed, 'no daemon answered', {
    remedy: 'check the addresses given and that daemons run there',
    notRun: NotRun.True,
  });
}
