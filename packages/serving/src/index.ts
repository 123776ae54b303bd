/** Admission, placement, reservations, token streams and retries. */
export * from './common/services/Services.js';
export * from './common/AdmissionQueue.js';
export * from './common/AttemptRegistry.js';
export * from './common/CompletionService.js';
export * from './common/EngineReconciler.js';
export * from './common/LengthClasses.js';
export * from './common/LengthSplit.js';
export * from './common/Messages.js';
export * from './common/Placer.js';
export * from './common/PrefixIndex.js';
export * from './common/PromptPrefixes.js';
export * from './common/policies/WeightedPolicy.js';
export * from './common/ReservationClient.js';
export * from './common/ReservationService.js';
export * from './common/RetryBudget.js';
export * from './common/TargetAccount.js';
export * from './common/TargetDirectory.js';
