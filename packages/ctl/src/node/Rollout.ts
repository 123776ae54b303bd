/** Progress of a configuration: on how many live nodes it is in force, and which are behind. */
import type { DaemonStatus } from './OperatorClient.js';

/** A node on which the offset isn't in force yet. */
export interface Laggard {
  readonly node: string;
  readonly configurationOffset: number;
}

/** The progress of one offset over the live nodes. */
export interface Rollout {
  readonly offset: number;
  readonly inForceOn: number;
  readonly live: number;
  readonly laggards: readonly Laggard[];
}

/**
 * Returns the progress of `offset` from the member list of one node. The list may be out of date,
 * because member states travel with membership probes.
 */
export function rolloutOf(members: DaemonStatus['members'], offset: number): Rollout {
  const laggards = members
    .filter(({ state }) => state.configurationOffset < offset)
    .map(({ name, state }) => ({ node: name, configurationOffset: state.configurationOffset }));
  return { offset, inForceOn: members.length - laggards.length, live: members.length, laggards };
}

/** Describes the progress in one line for operators. */
export function describeRollout({ inForceOn, laggards, live, offset }: Rollout): string {
  const names = laggards.map(
    ({ configurationOffset, node }) => `${node} (at ${configurationOffset})`,
  );
  const behind = names.length === 0 ? '' : `; behind: ${names.join(', ')}`;
  return `offset ${offset} in force on ${inForceOn} of ${live} live nodes${behind}`;
}
