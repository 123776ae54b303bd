/** Naive replacements of `CompletionService`. Only proof runs use them. */
import { NotRun } from '@tanagerdyke/kernel';
import {
  type CompletionFrames,
  type CompletionOptions,
  type CompletionRequest,
  type CompletionServer,
  CompletionService,
} from '@tanagerdyke/serving';

const DEADLINE_EXTENSION_MS = 30_000;

/** Reports "not run" for every error. */
export class AlwaysNotRunCompletions implements CompletionServer {
  private readonly _completionService: CompletionService;

  constructor(options: CompletionOptions) {
    this._completionService = new CompletionService(options);
  }

  public async *complete(request: CompletionRequest, signal: AbortSignal): CompletionFrames {
    for await (const frame of this._completionService.complete(request, signal)) {
      yield frame.mapErr((error) => error.withNotRun(NotRun.True));
    }
  }
}

/** Continues a completion for `DEADLINE_EXTENSION_MS` past its deadline. */
export class IgnoreDeadlinesCompletions implements CompletionServer {
  private readonly _completionService: CompletionService;

  constructor(options: CompletionOptions) {
    this._completionService = new CompletionService(options);
  }

  public complete(request: CompletionRequest, signal: AbortSignal): CompletionFrames {
    return this._completionService.complete(
      { ...request, deadline: request.deadline + DEADLINE_EXTENSION_MS },
      signal,
    );
  }
}
