/** Dependencies of a daemon that also serves the baselines, for measurement runs. */
import { type DaemonDependencies, DEFAULT_DEPENDENCIES } from '@tanagerdyke/daemon';
import { SystemClock, SystemRandom } from '@tanagerdyke/kernel';
import type { AttemptRegistry } from '@tanagerdyke/serving';
import { registerBaselines } from '../../common/measure/BaselinePolicies.js';
import { BaselineServer } from '../../common/measure/BaselineServer.js';
import { UnlimitedReservations } from '../../common/measure/UnlimitedReservations.js';
import { LoadReportPoller } from './LoadReportPoller.js';

/** Adds the baseline policies and their server to the dependencies of a daemon. */
export function withBaselines(dependencies: DaemonDependencies): DaemonDependencies {
  const loads = new LoadReportPoller();
  const { mechanisms, policies } = DEFAULT_DEPENDENCIES;
  registerBaselines(policies, loads);
  let attempts: AttemptRegistry | undefined;
  return {
    ...dependencies,
    policies,
    mechanisms: {
      ...dependencies.mechanisms,
      createDirectory: (options) => {
        const directory = mechanisms.createDirectory(options);
        void loads.run(new SystemClock(), directory);
        return directory;
      },
      createReconciler: (options) => {
        ({ attempts } = options);
        return mechanisms.createReconciler(options);
      },
      createCompletions: (options) => {
        if (attempts === undefined) {
          throw new Error('createCompletions was called before createReconciler');
        }
        return new BaselineServer(options, {
          ...options,
          random: new SystemRandom(),
          reservations: new UnlimitedReservations(),
          attempts,
          policies,
        });
      },
    },
  };
}
