/** Determines the length class under which the metrics of a completion are recorded. */
import { type ObjectSet, type Route, TargetKind } from '@tanagerdyke/configuration';
import type { LengthClass } from '@tanagerdyke/contracts';
import { classifyLength, type CompletionRequest } from '@tanagerdyke/serving';

/** The length class of a completion, given the largest engine that serves its route. */
export function lengthClassOf(
  set: ObjectSet,
  {
    maxTokens,
    promptTokens,
    route,
  }: Pick<CompletionRequest, 'maxTokens' | 'promptTokens' | 'route'>,
): LengthClass {
  return classifyLength(promptTokens, promptTokens + maxTokens, largestEngineTokens(set, route));
}

function largestEngineTokens(set: ObjectSet, route: Route): number {
  const versions = new Set(route.versions.map(({ version }) => version));
  let largest = 0;
  for (const { target } of set.targets.values()) {
    const isServing =
      target.kind === TargetKind.Engine && target.versions.some((each) => versions.has(each));
    largest = isServing ? Math.max(largest, target.memoryTokens) : largest;
  }
  return largest;
}
