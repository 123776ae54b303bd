/**
 * Replays arrivals of prompts against emulated engines, placed by the scheduler of the gateway, with
 * the stated maximum of output tokens or with the learned cost. There is no network: one node decides
 * all, and callers repeat a refused prompt once, after the time that they were given.
 */
import {
  AccountState,
  ActiveRequestTable,
  CostEstimates,
  type CostRequest,
  DecisionLog,
  EngineScheduler,
  LATE_VALUE_SHARE,
  promptValue,
  type PromptRequest,
  RateLimits,
  RefusedPrompt,
  type TargetEntry,
  TargetHealth,
  type ZoneChange,
} from '@tanagerdyke/gateway';
import { EnginePriority } from '@tanagerdyke/contracts';
import {
  Emitter,
  ManualClock,
  Metrics,
  type RandomSource,
  SeededRandom,
} from '@tanagerdyke/kernel';
import { DEFAULT_PROFILE, EngineEmulator } from '../EngineEmulator.js';

const ENGINES = 4;
const SLOTS = 8;
const MEMORY_TOKENS = 400_000;
const NODE = 'n';
const SERVICE = 'm';
const DUE_MS = 600;
const DEADLINE_MS = 10_000;
const PAUSE_MS = 300;
/** Part of the time left that a prompt waits for capacity, as in the forwarder. */
const WAIT_SHARE = 0.25;
/** Time after the last arrival until the results are read. */
const RUNOUT_MS = 15_000;

/** The profile of `DEFAULT_PROFILE` as the gateway has it. */
const PROFILE = {
  slots: SLOTS,
  memoryTokens: MEMORY_TOKENS,
  stepMs: DEFAULT_PROFILE.decodeStepMs,
  msPerSequence: DEFAULT_PROFILE.batchSlopeMs,
  msPerThousandContextTokens: 0,
  prefillTokensPerMs: DEFAULT_PROFILE.prefillTokensPerSecond / 1_000,
  msPerMillionPairs: 0,
  chunkTokens: DEFAULT_PROFILE.chunkTokens,
  stride: 1,
};

/** One prompt of a replay. */
export interface ReplayedPrompt {
  readonly at: number;
  readonly workspace: string;
  readonly promptTokens: number;
  readonly stated: number;
  readonly hint: number | undefined;
  /** Tokens that the answer really has. */
  readonly tokens: number;
}

export interface ReplayOptions {
  readonly prompts: readonly ReplayedPrompt[];
  readonly isLearned: boolean;
  /** Speed of each engine as a share of the profile; 1 for those not named. */
  readonly speeds?: readonly number[];
  readonly seed: number;
}

/** What a replay came to. */
export interface ReplayResult {
  /** Value served, as a share of that of all prompts in time. */
  value: number;
  /** Answers whose first event was late. */
  late: number;
  inTime: number;
  unserved: number;
  /** Refusals of prompts that had waited for a slot. */
  refusedAfterWait: number;
  /** Mean distance of the estimate from the answer, as a logarithm. */
  error: number;
}

/** Plays the prompts and returns what callers got. */
export async function replayPlacement(options: ReplayOptions): Promise<ReplayResult> {
  const replay = new PlacementReplay(options);
  return replay.run();
}

class PlacementReplay {
  private readonly _clock = new ManualClock();
  private readonly _random: RandomSource;
  private readonly _metrics = new Metrics();
  private readonly _table = new ActiveRequestTable(this._clock, NODE);
  private readonly _costs = new CostEstimates({ clock: this._clock, metrics: this._metrics });
  private readonly _engines = new Map<string, EngineEmulator>();
  private readonly _scheduler: EngineScheduler;
  private _ids = 0;
  private _served = 0;
  private _errors = 0;
  private readonly _result: ReplayResult = {
    value: 0,
    late: 0,
    inTime: 0,
    unserved: 0,
    refusedAfterWait: 0,
    error: 0,
  };

  constructor(private readonly _options: ReplayOptions) {
    this._random = new SeededRandom(_options.seed);
    const targets: TargetEntry[] = [];
    for (let index = 0; index < ENGINES; index++) {
      const id = `e${index}`;
      const timeScale = _options.speeds?.[index] ?? 1;
      const versions = ['v'];
      const profile = { ...DEFAULT_PROFILE, timeScale, versions, memoryTokens: MEMORY_TOKENS };
      this._engines.set(id, new EngineEmulator(this._clock, id, profile));
      targets.push(engineEntry(id));
    }
    const countNodes = (): { live: number; max: number } => ({ live: 1, max: 1 });
    const log = new DecisionLog(this._clock, NODE, () => true);
    this._scheduler = new EngineScheduler({
      clock: this._clock,
      random: this._random,
      targets: {
        acceptingTargets: () => targets,
        evacuatedTargets: () => [],
        onEvacuation: new Emitter<ZoneChange>().event,
      },
      activeRequests: this._table,
      health: new TargetHealth(this._clock),
      rateLimits: new RateLimits({
        clock: this._clock,
        random: this._random,
        log,
        metrics: this._metrics,
        coldTargets: { find: () => undefined, hasCold: false },
        countNodes,
      }),
      isFirstCoordinator: () => true,
      costs: this._costs,
    });
    if (!_options.isLearned) {
      this._costs.slowdown = () => 1;
    }
  }

  public async run(): Promise<ReplayResult> {
    const { prompts } = this._options;
    for (const prompt of prompts) {
      await this._clock.advance(prompt.at - this._clock.now());
      void this._serve(prompt, prompt.at + DUE_MS, prompt.at + DEADLINE_MS, false);
    }
    await this._clock.advance(RUNOUT_MS);
    const whole = prompts.reduce((sum, each) => sum + valueOf(each), 0);
    this._result.value /= whole;
    this._result.error = this._errors / Math.max(1, this._served);
    this._result.unserved = prompts.length - this._result.inTime - this._result.late;
    for (const engine of this._engines.values()) {
      engine.dispose();
    }
    this._scheduler.dispose();
    return this._result;
  }

  private async _serve(
    prompt: ReplayedPrompt,
    dueAt: number,
    deadlineAt: number,
    isReturning: boolean,
  ): Promise<void> {
    const now = this._clock.now();
    const waitUntil = now + (deadlineAt - now) * WAIT_SHARE;
    const request = this._toRequest(prompt, dueAt, deadlineAt, isReturning);
    const { signal } = new AbortController();
    const decision = await this._scheduler.decide(
      request,
      waitUntil,
      signal,
      AccountState.Complete,
    );
    if (!(decision instanceof RefusedPrompt)) {
      this._generate(prompt, request, decision.targets[0].id);
      return;
    }
    this._result.refusedAfterWait += this._clock.now() > now ? 1 : 0;
    if (!isReturning && this._clock.now() + decision.retryAfterMs < deadlineAt) {
      await this._clock.sleep(decision.retryAfterMs);
      // As in the forwarder, a first event is due by the time at which the caller returns.
      await this._serve(prompt, dueAt, deadlineAt, true);
    }
  }

  private _toRequest(
    prompt: ReplayedPrompt,
    dueAt: number,
    deadlineAt: number,
    isReturning: boolean,
  ): PromptRequest {
    return {
      id: String(this._ids++),
      node: NODE,
      availabilityZone: 'a',
      cell: { service: SERVICE, availabilityZone: undefined },
      profile: PROFILE,
      promptTokens: prompt.promptTokens,
      outputTokens: prompt.stated,
      expected: this._options.isLearned ? this._costs.estimate(costOf(prompt)) : undefined,
      latencyTargetMs: DUE_MS,
      pauseTargetMs: PAUSE_MS,
      dueAt,
      deadlineAt,
      workspace: prompt.workspace,
      isReturning,
      excluded: new Set(),
      suspects: new Set(),
    };
  }

  private _generate(prompt: ReplayedPrompt, request: PromptRequest, engine: string): void {
    const cost = costOf(prompt);
    const estimate = this._costs.estimate(cost);
    let firstAt: number | undefined;
    let events = 0;
    const emulated = {
      id: request.id,
      node: NODE,
      incarnation: 1,
      version: 'v',
      prompt: [{ digest: request.id, tokens: prompt.promptTokens }],
      maxTokens: prompt.tokens,
      fromPosition: 0,
      priority: EnginePriority.Interactive,
      gang: [],
      expiresInMs: DEADLINE_MS,
    };
    this._engines.get(engine)?.generate(emulated, (frame) => {
      const now = this._clock.now();
      events++;
      if (firstAt === undefined) {
        firstAt = now;
        this._table.markGenerating(NODE, request.id);
      }
      if (frame?.isLast === true) {
        this._table.remove(NODE, request.id);
        this._count(prompt, firstAt <= request.dueAt, now <= request.deadlineAt);
        const known = this._options.isLearned ? estimate.outputTokens : prompt.stated;
        this._errors += Math.abs(Math.log(known / prompt.tokens));
        this._served++;
        this._costs.record({ request: cost, estimate, events, generationMs: now - firstAt });
      }
    });
  }

  private _count(prompt: ReplayedPrompt, isInTime: boolean, isComplete: boolean): void {
    if (isComplete) {
      this._result.value += valueOf(prompt) * (isInTime ? 1 : LATE_VALUE_SHARE);
      this._result.inTime += isInTime ? 1 : 0;
      this._result.late += isInTime ? 0 : 1;
    }
  }
}

function valueOf({ promptTokens, tokens }: ReplayedPrompt): number {
  return promptValue(promptTokens, tokens);
}

function costOf({ hint, promptTokens, stated, workspace }: ReplayedPrompt): CostRequest {
  return { route: 'r', service: SERVICE, workspace, promptTokens, stated, hint, profile: PROFILE };
}

function engineEntry(id: string): TargetEntry {
  return {
    id,
    service: SERVICE,
    address: `${id}:80`,
    availabilityZone: 'a',
    slots: SLOTS,
    isDraining: false,
    startedAt: undefined,
    coldMs: 0,
  };
}
