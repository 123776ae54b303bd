/**
 * Guards against an explanation that differs from the decision, changes what it explains, or accepts
 * any input.
 */
import { ManualClock } from '@tanagerdyke/kernel';
import { beforeEach, describe, expect, it } from 'vitest';
import { AccountState } from '../common/placement/EngineSelection.js';
import { ExplainedOutcome } from '../common/placement/PlacementExplanation.js';
import { RefusedPrompt } from '../common/placement/PlacementDecision.js';
import type { CellExplanation } from '../common/placement/PromptScheduler.js';
import { configuration, ForwardingFixture, targetEntry } from './ForwardingFixture.js';
import { promptOf, waitsUntil } from './PromptOfRequest.js';
import type { RequestSender } from './Upstream.js';
import { explainRequest, type RequestExplanation } from './RequestExplainer.js';

const STREAM = '?route=/stream/&workspace=w&prompt=5000&output=400';

const unused: RequestSender = {
  send: () => {
    throw new Error('an explanation sends nothing');
  },
};

describe('explainRequest', () => {
  let clock: ManualClock;
  let fixture: ForwardingFixture;

  beforeEach(() => {
    clock = new ManualClock();
    fixture = new ForwardingFixture({
      clock,
      upstream: unused,
    });
    for (const id of ['e0', 'e1']) {
      fixture.addTarget(targetEntry(id, 'engine', `${id}:80`));
    }
    fixture.addTarget(targetEntry('a0', 'app', 'a0:80'));
    fixture.publishConfiguration();
  });

  function explain(search: string): RequestExplanation {
    const explained = explainRequest({ ...fixture.dependencies, node: 'n' }, search);
    if (explained.isErr) {
      throw new Error(explained.error.detail);
    }
    return explained.value;
  }

  function faultOf(search: string): string | undefined {
    const explained = explainRequest({ ...fixture.dependencies, node: 'n' }, search);
    return explained.isErr ? explained.error.detail : undefined;
  }

  function cellOf(search: string): CellExplanation {
    const [cell] = explain(search).services[0]?.prompt?.cells ?? [];
    if (cell === undefined) {
      throw new Error('no cell is explained');
    }
    return cell;
  }

  /** Places the prompt that `STREAM` describes. */
  function place() {
    const { costs, scheduler } = fixture.dependencies;
    const [, , route] = configuration.routes;
    const [, service] = configuration.services;
    if (route === undefined || service?.engine === undefined) {
      throw new Error('the fixture has no route of streams');
    }
    const now = clock.now();
    const request = {
      caller: {
        promptTokens: 5_000,
        outputTokens: 400,
        expectedOutputTokens: undefined,
        remainingMs: undefined,
      },
      route,
      service,
      workspace: { name: 'w', allowedRegions: undefined },
      receivedAt: now,
      deadlineAt: now + route.timeoutMs,
    };
    const estimate = costs.estimate({
      route: route.name,
      service: service.name,
      workspace: 'w',
      promptTokens: 5_000,
      stated: 400,
      hint: undefined,
      profile: service.engine,
    });
    const prompt = promptOf(request, service.engine, estimate, new Set());
    return scheduler.place(prompt, waitsUntil(request, now), new AbortController().signal);
  }

  it('names the engine that the next prompt gets, as long as there are slots', async () => {
    for (let index = 0; index < 8; index++) {
      const cell = cellOf(STREAM);
      const placed = await place();
      expect(cell.outcome).toBe(ExplainedOutcome.Placed);
      expect(cell.account).toBe(AccountState.Complete);
      expect(placed).not.toBeInstanceOf(RefusedPrompt);
      if (!(placed instanceof RefusedPrompt)) {
        expect(cell.targets).toEqual(placed.targets.map(({ id }) => id));
        expect(cell.firstEventMs).toBe(Math.round(placed.firstEventMs));
      }
    }
  });

  it('states the place in the queue, and the refusal that a caller would get', async () => {
    for (let index = 0; index < 8; index++) {
      await place();
    }
    expect(cellOf(STREAM).outcome).toBe(ExplainedOutcome.Waits);
    expect(cellOf(STREAM).candidates.map(({ obstacle }) => obstacle)).toEqual(['full', 'full']);
    clock.freeze(2_000);
    const waiting = [place(), place(), place()];
    const cell = cellOf(STREAM);
    expect(cell).toMatchObject({ outcome: ExplainedOutcome.Refused, refusal: 'no-room' });
    const refused = await place();
    expect(refused).toMatchObject({ refusal: cell.refusal, ahead: cell.ahead });
    expect(refused).toBeInstanceOf(RefusedPrompt);
    if (refused instanceof RefusedPrompt) {
      expect(cell.retryAfterMs).toBe(Math.round(refused.retryAfterMs));
    }
    await clock.advance(5_000);
    await Promise.all(waiting);
  });

  it('changes no decision, queue, limit or metric', async () => {
    const play = async (explanations: number): Promise<unknown[]> => {
      clock = new ManualClock();
      const played = new ForwardingFixture({
        clock,
        upstream: unused,
      });
      for (const id of ['e0', 'e1']) {
        played.addTarget(targetEntry(id, 'engine', `${id}:80`));
      }
      played.publishConfiguration();
      fixture = played;
      played.dependencies.rateLimits.recordStatement({ target: 'e0', requestsPerSecond: 3 });
      const seen: unknown[] = [];
      for (let index = 0; index < 14; index++) {
        for (let each = 0; each < explanations; each++) {
          explain(STREAM);
          explain('?host=test&path=/idempotent/x&workspace=w');
        }
        const pending = place();
        await clock.advance(1_000);
        const placed = await pending;
        seen.push(
          placed instanceof RefusedPrompt
            ? placed
            : { ids: placed.targets.map(({ id }) => id), cost: placed.cost, key: placed.rateKey },
        );
      }
      return [...seen, played.dependencies.metrics.render()];
    };
    expect(await play(5)).toEqual(await play(0));
  });

  it('shows the obstacles of targets', () => {
    const { health, pauses, rateLimits } = fixture.dependencies;
    fixture.addTarget({ ...targetEntry('e2', 'engine', 'e2:80'), isDraining: true });
    pauses.record('e0', 2_000);
    rateLimits.recordStatement({ target: 'e1', requestsPerSecond: 1 });
    rateLimits.reserve(['e1'], 'first');
    rateLimits.reserve(['e1'], 'second');
    health.recordConnectionFailure('a0');
    const [service] = explain(STREAM).services;
    expect(
      service?.obstructed.map(({ obstacle, target }) => [target, obstacle.split(' ')[0]]),
    ).toEqual([
      ['e0', 'paused'],
      ['e1', 'rate-limited'],
      ['e2', 'draining'],
    ]);
    expect(cellOf(STREAM).candidates.map(({ obstacle, target }) => [target, obstacle])).toEqual([
      ['e0', 'excluded'],
      ['e1', 'rate-limited'],
    ]);
    const [call] = explain('?host=test&path=/once/1').services;
    expect(call?.obstructed).toMatchObject([
      { target: 'a0', obstacle: 'recently failed this node' },
    ]);
  });

  it.each([
    ['no route', ''],
    ['a route and a host', '?route=a&host=b'],
    ['an unknown route', '?route=nowhere'],
    ['an unknown workspace', '?route=/stream/&workspace=nobody'],
    ['an unknown parameter', '?route=/stream/&reserve=1'],
    ['a repeated parameter', '?route=/stream/&prompt=1&prompt=2'],
    ['a negative number', '?route=/stream/&prompt=-1'],
    ['a number that is none', '?route=/stream/&hint=1e9'],
    ['a number beyond all prompts', '?route=/stream/&prompt=99999999'],
    ['a long name', `?route=${'x'.repeat(300)}`],
    ['a long query', `?route=${'x'.repeat(3_000)}`],
  ])('rejects %s', (_name, search) => {
    expect(faultOf(search)).toBeDefined();
  });
});
