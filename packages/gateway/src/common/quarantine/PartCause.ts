/**
 * Names a part of prompts as a possible cause of crashes. A caller chooses the ids of parts, of any
 * length, while a cause becomes the key of a record on the platform and is repeated in datagrams. So
 * a long id is replaced by its digest. Ids contain no colon, so no id is mistaken for a digest.
 */
import { createHash } from 'node:crypto';

/** Longest cause; nodes of earlier releases store and compare ids up to this length as they are. */
export const MAX_CAUSE_BYTES = 255;
const DIGEST_PREFIX = 'part:';

/** Returns the cause for the id of a part, which is the id itself unless it is too long. */
export function causeOfPart(id: string): string {
  return Buffer.byteLength(id) <= MAX_CAUSE_BYTES
    ? id
    : `${DIGEST_PREFIX}${createHash('sha256').update(id).digest('base64url')}`;
}
