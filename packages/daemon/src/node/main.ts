/** The entry point of `tanagerd`. */
import { DEFAULT_DEPENDENCIES, runDaemon } from './runDaemon.js';

await runDaemon(process.argv, DEFAULT_DEPENDENCIES);
