/** An engine profile, target entries and a short prompt for placement tests. Not shipped. */
import { Emitter } from '@tanagerdyke/kernel';
import type { EngineProfile, TargetEntry } from '../Messages.js';
import type { ZoneChange } from '../state/ZoneEvacuations.js';
import type { TargetSource } from './EngineSelection.js';
import type { PromptRequest } from './PlacementDecision.js';
import type { PromptRequirements } from './PlacementLoss.js';

/** An engine whose pass without sequences takes 40 ms. */
export const simpleProfile: EngineProfile = {
  slots: 8,
  memoryTokens: 450_000,
  stepMs: 1,
  msPerSequence: 0,
  msPerThousandContextTokens: 0,
  prefillTokensPerMs: 256,
  msPerMillionPairs: 0.1,
  chunkTokens: 2_000,
  stride: 40,
};

/** The kind of prompt that users send most often. */
export const shortPrompt: PromptRequirements = {
  promptTokens: 5_000,
  outputTokens: 1_600,
  dueInMs: 300,
  deadlineInMs: 10_000,
  latencyTargetMs: 300,
  pauseTargetMs: 200,
  availabilityZone: 'a',
};

/** An engine that accepts requests. */
export function engineEntry(id: string, slots = simpleProfile.slots): TargetEntry {
  return {
    id,
    service: 'm',
    address: `${id}:80`,
    availabilityZone: 'a',
    slots,
    isDraining: false,
    startedAt: undefined,
    coldMs: 0,
  };
}

/** Targets of which none is in an evacuated zone. */
export function targetSource(engines: () => readonly TargetEntry[]): TargetSource {
  return {
    acceptingTargets: engines,
    evacuatedTargets: () => [],
    onEvacuation: new Emitter<ZoneChange>().event,
  };
}

/** A request to place the short prompt, with changes. */
export function promptRequest(changes: Partial<PromptRequest> = {}): PromptRequest {
  return {
    id: '0',
    node: 'n',
    availabilityZone: 'a',
    cell: { service: 'm', availabilityZone: undefined },
    profile: simpleProfile,
    promptTokens: shortPrompt.promptTokens,
    outputTokens: shortPrompt.outputTokens,
    latencyTargetMs: shortPrompt.latencyTargetMs,
    pauseTargetMs: shortPrompt.pauseTargetMs,
    dueAt: 300,
    deadlineAt: 10_000,
    workspace: 'w',
    isReturning: false,
    excluded: new Set(),
    suspects: new Set(),
    ...changes,
  };
}
