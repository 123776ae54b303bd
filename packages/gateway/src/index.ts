/** The public entry of the gateway: what an adapter to a platform uses. */
export * from './common/Messages.js';
export * from './common/services/Services.js';
export * from './common/ConnectLimits.js';
export * from './common/DecisionLog.js';
export * from './common/GatewaySettings.js';
export * from './common/HttpHeaders.js';
export * from './node/GatewayNode.js';
export * from './node/StandardOutput.js';
