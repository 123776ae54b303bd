/** Interfaces to the systems outside tanagerdyke, and the messages of callers. */
export * from './common/services/Services.js';
export * from './common/CallerMessages.js';
export * from './common/Messages.js';
