/**
 * The demo: a fleet of real processes serves a fixed mix of short prompts, long prompts, prompts
 * that need a gang, and orders that must run at most once, and then stops. The last line of output
 * is the result as JSON; its counts come from checks on the callers' side and from the records of
 * the engine and service stand-ins.
 */
import { createHash } from 'node:crypto';
import type { CallerClient } from '@tanagerdyke/ctl';
import { NotRun, type ServiceError } from '@tanagerdyke/kernel';
import { request } from 'undici';
import { v7 as uuidv7 } from 'uuid';
import * as z from 'zod';
import { COMPLETION_ROUTE, DEFAULT_FLEET, SERVICE_ROUTE, zoneOf } from '../common/FleetPlan.js';
import { zeroCounts, type RunCounts } from '../common/RunCounts.js';
import { exitOnSignal } from './ExitOnSignal.js';
import { Fleet } from './Fleet.js';
import { isExpectedAnswer } from './LoadRunner.js';

const SEED = 1;
const TIME_SCALE = 4;
const ENGINE_MEMORY_TOKENS = 200_000;
const DEADLINE_MS = 60_000;
const ORDER_COUNT = 24;
const CALLERS_PER_ORDER = 2;
/** How often each prompt length is sent. */
const ROUNDS = 4;
/** Prompt lengths of one round, in tokens; the last one exceeds one engine, so it needs a gang. */
const PROMPT_LENGTHS = [1_000, 2_000, 3_000, 5_000, 8_000, 20_000, 60_000, 150_000, 450_000];
const OUTPUT_TOKENS = 24;

const executionsSchema = z.array(z.object({ key: z.string(), attempt: z.string() }));
const attemptsSchema = z.array(z.object({ id: z.string(), hasEnded: z.boolean() }));

exitOnSignal(1);
await run();

async function run(): Promise<void> {
  const size = {
    ...DEFAULT_FLEET,
    profile: { timeScale: TIME_SCALE, memoryTokens: ENGINE_MEMORY_TOKENS },
  };
  const fleet = await Fleet.create({ size, seed: SEED });
  try {
    logProgress(`starting ${size.daemons} daemons, ${size.engines} engines and the platform`);
    await fleet.start();
    const offset = await fleet.publishPlan();
    logProgress(`configuration in force everywhere at offset ${offset}`);
    const counts = zeroCounts();
    await sendAll(fleet, counts);
    await countFromStandIns(fleet, counts);
    logProgress('stopping all processes');
    await fleet.stop();
    process.stdout.write(`${JSON.stringify(counts)}\n`);
    const hasNoFault = counts.lost + counts.doubled + counts.violations + counts.failed === 0;
    process.exitCode = hasNoFault && counts.answered > 0 ? 0 : 1;
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    process.exitCode = 1;
  } finally {
    await fleet.kill();
  }
  process.exit();
}

async function sendAll(fleet: Fleet, counts: RunCounts): Promise<void> {
  const tasks: Promise<void>[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    for (const [index, tokens] of PROMPT_LENGTHS.entries()) {
      const caller = callerFor(fleet, index + round);
      const digest = createHash('sha256').update(`${round}/${index}`).digest('hex');
      tasks.push(sendPrompt(caller, counts, [{ digest, tokens }]));
    }
  }
  for (let order = 0; order < ORDER_COUNT; order++) {
    tasks.push(sendOrder(fleet, counts, order));
  }
  await Promise.all(tasks);
  logProgress(`sent ${ROUNDS * PROMPT_LENGTHS.length} prompts and ${ORDER_COUNT} orders`);
}

function callerFor(fleet: Fleet, index: number): CallerClient {
  const { workspaces } = fleet.size;
  const workspace = workspaces[index % workspaces.length] ?? '';
  return fleet.caller(workspace, zoneOf(fleet.size, index));
}

async function sendPrompt(
  caller: CallerClient,
  counts: RunCounts,
  prompt: readonly { digest: string; tokens: number }[],
): Promise<void> {
  const answer = await caller.complete({
    route: COMPLETION_ROUTE,
    prompt,
    maxTokens: OUTPUT_TOKENS,
    deadlineMs: DEADLINE_MS,
  });
  if (answer.isErr) {
    countFailure(counts, answer.error);
    return;
  }
  counts.admitted++;
  const { tokens, digest } = answer.value;
  const isExpected = isExpectedAnswer({ prompt, maxTokens: OUTPUT_TOKENS }, tokens, digest);
  if (isExpected) {
    counts.answered++;
  } else {
    counts.lost++;
  }
}

/** Two callers send the same order at the same time; both must get the answer of one execution. */
async function sendOrder(fleet: Fleet, counts: RunCounts, order: number): Promise<void> {
  const key = uuidv7();
  const { workspaces } = fleet.size;
  const workspace = workspaces[order % workspaces.length] ?? '';
  const body = JSON.stringify({ order, ricottaKg: 12 });
  const callers = Array.from({ length: CALLERS_PER_ORDER }, (_, index) =>
    fleet.caller(workspace, zoneOf(fleet.size, index)),
  );
  const answers = await Promise.all(
    callers.map((caller) => caller.call(SERVICE_ROUTE, key, body, DEADLINE_MS)),
  );
  for (const answer of answers) {
    if (answer.isErr) {
      countFailure(counts, answer.error);
      continue;
    }
    counts.admitted++;
    if (answer.value.body.includes(key)) {
      counts.answered++;
    } else {
      counts.lost++;
    }
  }
}

function countFailure(counts: RunCounts, error: ServiceError): void {
  if (error.notRun === NotRun.True) {
    counts.refused++;
    return;
  }
  counts.admitted++;
  counts.failed++;
  logProgress(`request failed: ${error.kind}: ${error.message}`);
}

/** Counts repeated executions and lost answers from the stand-ins, independently of the daemons. */
async function countFromStandIns(fleet: Fleet, counts: RunCounts): Promise<void> {
  const executions = new Map<string, number>();
  for (const port of fleet.ports.services) {
    for (const { key } of await getJson(port, '/admin/executions', executionsSchema)) {
      executions.set(key, (executions.get(key) ?? 0) + 1);
    }
  }
  counts.doubled = [...executions.values()].filter((count) => count > 1).length;
  let completed = 0;
  for (const port of fleet.ports.engines) {
    const attempts = await getJson(port, '/admin/attempts', attemptsSchema);
    completed += attempts.filter(({ hasEnded }) => hasEnded).length;
  }
  const expected = counts.answered - executions.size * CALLERS_PER_ORDER;
  if (completed < expected) {
    counts.lost += expected - completed;
  }
  logProgress(
    `engines completed ${completed} streams, services executed ${executions.size} orders`,
  );
  for (const index of fleet.ports.callers.keys()) {
    const status = await fleet.operator(index).status();
    counts.violations += status.isOk ? status.value.violations : 1;
  }
}

async function getJson<T>(port: number, path: string, schema: z.ZodType<T>): Promise<T> {
  const { body } = await request(`http://127.0.0.1:${port}${path}`);
  return schema.parse(await body.json());
}

function logProgress(text: string): void {
  process.stderr.write(`${text}\n`);
}
