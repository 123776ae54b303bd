/**
 * Decides when the records of a node that has started are current. Load pattern: nodes restart shortly after
 * the platform returned from an older copy, which lacks the newest version of the configuration and the
 * removal of targets; only nodes that ran before have these. A node that served from the copy would
 * accept keys that were withdrawn and use targets that have left.
 */

/**
 * Time from the start in which a node discovers its peers, if there are any. Requests wait a little
 * longer for a configuration.
 */
const JOIN_MS = 450;
/** After this time a node serves although no ready peer has confirmed its records. */
const MAX_WAIT_MS = 3_000;

/** The peers of a starting node, as it has discovered them. */
export interface PeerKnowledge {
  /** Whether any other node is ready, so that it may know more. */
  readonly hasReadyPeers: boolean;
  /** Whether a ready peer has stated how far it is, and this node has all that it has. */
  readonly isConfirmed: boolean;
}

/** Whether a node that started at a time may serve now by its records. */
export function isSettled(
  startedAt: number,
  now: number,
  { hasReadyPeers, isConfirmed }: PeerKnowledge,
): boolean {
  const waitedMs = now - startedAt;
  return isConfirmed || waitedMs >= (hasReadyPeers ? MAX_WAIT_MS : JOIN_MS);
}
