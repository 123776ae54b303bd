/** The public API of the kernel, on which all other packages depend. */
export * from './common/services/Services.js';
export * from './common/Chunks.js';
export * from './common/Disposables.js';
export * from './common/Emitter.js';
export * from './common/InvariantMonitor.js';
export * from './common/ManualClock.js';
export * from './common/Metrics.js';
export * from './common/PendingEvent.js';
export * from './common/Registry.js';
export * from './common/SeededRandom.js';
export * from './common/ServiceError.js';
export * from './common/SettingsParser.js';
export * from './common/SocketAddresses.js';
export * from './common/TimeLine.js';
export * from './node/JsonLog.js';
export * from './node/SystemClock.js';
export * from './node/SystemRandom.js';
