/** Holds leases in the log and sends orders to engines under them. */
export * from './common/FleetController.js';
export * from './common/LeaseKeeper.js';
export * from './common/LeaseState.js';
export * from './common/OrderPlan.js';
export * from './common/WeightLoadLimiter.js';
