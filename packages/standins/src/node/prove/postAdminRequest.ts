/** Requests to the administrative routes of the stand-ins. */
import { request } from 'undici';

const REQUEST_TIMEOUT_MS = 2_000;

/** Posts to `/admin/{path}` of a stand-in; ignored if the stand-in is down or frozen. */
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
    // Another fault has killed or frozen the stand-in, so the run continues without this one.
  }
}
