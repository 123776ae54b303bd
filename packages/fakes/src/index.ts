/** Fakes of external contracts for tests, in memory and on loopback. Private; not shipped. */
export * from './common/FixedMembership.js';
export * from './common/MemoryLink.js';
export * from './common/MemoryLog.js';
export * from './common/MemoryNetwork.js';
export * from './node/BrokenHeads.js';
export * from './node/FaultProxy.js';
export * from './node/Loopback.js';
export * from './node/SlowClock.js';
