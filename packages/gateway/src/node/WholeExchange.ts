/**
 * One exchange with a target whose answer is held until it is complete, so that a broken answer is
 * never passed on and a repeatable request can be sent again unseen.
 */
import { Execution } from '../common/Execution.js';
import type { RawHeaders, TargetAnswer } from '../common/Messages.js';
import {
  CALLER_LEFT_CAUSE,
  isOwnAnswer,
  type TargetExchange,
  type WholeAnswer,
} from './TargetExchange.js';
import type { Exchange } from './Upstream.js';

/** A larger answer of a target is treated as broken. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** How an exchange ended: with a complete answer or without one. */
export type WholeOutcome =
  | { readonly whole: WholeAnswer; readonly execution: Execution }
  | {
      readonly whole: undefined;
      readonly execution: Execution;
      readonly cause: string;
      /** Whether the time ran out, which need not be the target's fault. */
      readonly isLate: boolean;
    };

/** What an exchange needs. */
export interface WholeExchangeOptions extends TargetExchange {
  /** When the exchange is given up, on the clock. */
  readonly giveUpAt: number;
}

/** Runs the exchange. */
export function exchangeWhole(options: WholeExchangeOptions): Promise<WholeOutcome> {
  const { attemptId, clock, connections, dialect, giveUpAt, request, signal, target, upstream } =
    options;
  return new Promise((resolve) => {
    let execution = Execution.NotSent;
    let answer: TargetAnswer | undefined;
    let headers: RawHeaders = [];
    let size = 0;
    const chunks: Buffer[] = [];
    const finish = (outcome: WholeOutcome): void => {
      timer.dispose();
      signal.removeEventListener('abort', onAbort);
      resolve(outcome);
    };
    const fail = (cause: string, isLate = false): void => {
      finish({ whole: undefined, execution, cause, isLate });
    };
    const giveUp = (cause: string, isLate = false): void => {
      exchange.abort();
      fail(cause, isLate);
    };
    const onAbort = (): void => {
      giveUp(CALLER_LEFT_CAUSE);
    };
    const timer = clock.schedule(giveUpAt - clock.now(), () => {
      giveUp('no answer in time', true);
    });
    if (signal.aborted) {
      fail(CALLER_LEFT_CAUSE);
      return;
    }
    signal.addEventListener('abort', onAbort, { once: true });
    const exchange: Exchange = upstream.send(target, connections, request, {
      onSent: () => {
        execution = Execution.MayHaveRun;
      },
      onHead: (status, raw) => {
        headers = raw;
        answer = dialect.readAnswer(status, raw);
      },
      onData: (chunk) => {
        size += chunk.length;
        chunks.push(chunk);
        if (size > MAX_ANSWER_BYTES) {
          giveUp('the answer is too large to hold');
        }
      },
      onEnd: () => {
        if (answer === undefined || !isOwnAnswer(answer, attemptId)) {
          fail('the answer belongs to another request');
          return;
        }
        execution = answer.isNotRun ? Execution.RefusedUnrun : Execution.Ran;
        finish({ whole: { answer, headers, body: Buffer.concat(chunks) }, execution });
      },
      onError: (error) => {
        fail(error.message);
      },
    });
  });
}
