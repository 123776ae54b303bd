/** The public API of the gateway, as used by adapters to a platform. */
export * from './common/Messages.js';
export * from './common/services/Services.js';
export * from './common/ConnectTimeouts.js';
export * from './common/DecisionLog.js';
export * from './common/GatewaySettings.js';
export * from './common/HttpHeaders.js';
export { ActiveRequestTable, toGenerating } from './common/placement/ActiveRequestTable.js';
export * from './common/placement/CostEstimates.js';
export { AccountState, EngineScheduler } from './common/placement/EngineScheduler.js';
export * from './common/placement/PlacementDecision.js';
export { LATE_VALUE_SHARE, promptValue } from './common/placement/PlacementLoss.js';
export { RateLimits } from './common/placement/RateLimits.js';
export { TargetHealth } from './common/placement/TargetHealth.js';
export * from './node/GatewayNode.js';
export * from './node/paths/AnswerHeadLimit.js';
export * from './node/StandardOutput.js';
export * from './node/TimedCall.js';
export type { ZoneChange } from './common/state/ZoneEvacuations.js';
