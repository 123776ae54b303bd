/** Runs calls at most once by claiming their idempotency keys in the platform log. */
export * from './common/AnswerStore.js';
export * from './common/AtMostOnceCall.js';
export * from './common/AtMostOnceCaller.js';
export * from './common/ClaimIndex.js';
export * from './common/ClaimLedger.js';
export * from './common/ClaimShard.js';
export * from './common/IdempotencyKey.js';
export * from './common/Messages.js';
export * from './common/ShardCommitter.js';
export * from './common/ShardRouter.js';
