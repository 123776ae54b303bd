/** Requests to the administrative routes of stand-ins. */
import { request } from 'undici';

const REQUEST_TIMEOUT_MS = 2_000;

/** Posts to `/admin/{path}`; a stand-in that is down or frozen misses it. */
export async function postAdminRequest(port: number, path: string, body: unknown): Promise<void> {
  try {
    const answer = await request(`http://127.0.0.1:${port}/admin/${path}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    await answer.body.dump();
  } catch {
    // The run goes on without this fault; other faults have taken the stand-in.
  }
}
