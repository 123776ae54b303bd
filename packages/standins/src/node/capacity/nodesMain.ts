/** Child process of the capacity run: measures one number of nodes and prints one JSON line. */
import { SeededRandom, setLogNamespaces } from '@tanagerdyke/kernel';
import { setMaxListeners } from 'node:events';
import { measureNodes } from './NodeCosts.js';

// All tasks of a node listen to one abort signal, more than the default limit of listeners.
setMaxListeners(0);
setLogNamespaces('');
const [, , nodes, seed] = process.argv;
const costs = await measureNodes(Number(nodes), new SeededRandom(Number(seed)));
process.stdout.write(`${JSON.stringify(costs)}\n`);
process.exit(0);
