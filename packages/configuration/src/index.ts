/** Configuration objects, the check of a set, publishing and the configuration in force. */
export * from './common/services/Services.js';
export * from './common/Checkpoint.js';
export * from './common/Checkpointer.js';
export * from './common/ConfigurationCheck.js';
export * from './common/ConfigurationFollower.js';
export * from './common/ConfigurationFreshness.js';
export * from './common/ConfigurationPublisher.js';
export * from './common/ConfigurationRule.js';
export * from './common/Messages.js';
export * from './common/Objects.js';
export * from './common/ObjectSet.js';
export * from './common/PeerCatchUp.js';
