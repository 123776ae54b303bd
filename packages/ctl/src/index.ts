/** The library of `tanagerctl`: the clients of callers and operators. */
export * from './node/CallerClient.js';
export * from './node/ConfigurationFile.js';
export * from './node/OperatorClient.js';
