/** Emulators of external systems, and the tools that run fleets and load. Private; not shipped. */
export * from './common/EngineEmulator.js';
export * from './common/FleetPlan.js';
export * from './common/LogStore.js';
export * from './common/WorkloadPlan.js';
export * from './node/Fleet.js';
export * from './node/LoadRunner.js';
export * from './node/ManagedProcess.js';
