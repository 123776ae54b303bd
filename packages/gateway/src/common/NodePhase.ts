/** The phases of a gateway process, as its log states them. */

/** In their order, but that a closed node may accept requests again. */
export enum NodePhase {
  Starting = 'starting',
  Serving = 'serving',
  /** Asked to stop; still accepts requests. */
  Draining = 'draining',
  /** Refuses new requests, and waits for those in flight. */
  Closed = 'closed',
  /** Notifies its peers that it leaves; no request is left. */
  Leaving = 'leaving',
  Stopped = 'stopped',
}
