/** The daemon as a library: a node with injected dependencies, and its HTTP server. */
export * from './common/Settings.js';
export * from './node/adapters/register.js';
export * from './node/http/HttpServer.js';
export * from './node/MechanismFactories.js';
export * from './node/Node.js';
export type { NodeOptions } from './node/NodeComponents.js';
export * from './node/runDaemon.js';
export * from './node/SettingsLoader.js';
