/**
 * Writes the code cache of target/gateway.cjs. The program is started without settings, so that the
 * cache also has the functions that a start calls; it reports that they are missing and ends.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const folder = mkdtempSync(join(tmpdir(), 'tanager-'));
process.env.TANAGERDYKE_NODE_FILE = join(folder, 'empty.conf');
writeFileSync(process.env.TANAGERDYKE_NODE_FILE, '');
process.stderr.write = () => true;
const { script } = await import('../target/gateway.mjs');
writeFileSync('target/gateway.cjs.cache', script.createCachedData());
rmSync(folder, { recursive: true });
process.exitCode = 0;
