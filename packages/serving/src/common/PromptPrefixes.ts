/** Computes the prefixes of a prompt, each identified by the digest of the prompt up to its end. */
import { createHash } from 'node:crypto';
import type { PromptSegment } from '@tanagerdyke/contracts';
import type { PromptPrefix } from './Messages.js';

/** Maximum number of prefixes in a reservation request. */
const MAX_SENT_PREFIXES = 8;

/** The prefixes of a prompt that end with its first segments, shortest first. */
export function prefixesOf(prompt: readonly PromptSegment[]): readonly PromptPrefix[] {
  let chainedDigest = '';
  return prompt.slice(0, MAX_SENT_PREFIXES).map(({ digest, tokens }) => {
    chainedDigest = createHash('sha256').update(`${chainedDigest}/${digest}`).digest('hex');
    return { prefix: chainedDigest, tokens };
  });
}
