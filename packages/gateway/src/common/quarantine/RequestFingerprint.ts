/**
 * Identifies the content of a request, so that it is recognized when it comes again under another
 * id, at any node. Requests whose bodies differ in one byte have different fingerprints.
 */
import { createHash } from 'node:crypto';

/** Bytes of the digest that are kept. */
const DIGEST_BYTES = 12;
/** Ids of parts contain no colon, so no part is mistaken for a fingerprint. */
const PREFIX = 'request:';

/** What a target gets of a request, besides the headers that differ between attempts. */
export interface RequestContent {
  readonly method: string;
  /** With the query. */
  readonly path: string;
  readonly body: Buffer;
  /** Name of the workspace; undefined without one. */
  readonly workspace: string | undefined;
  /** Ids of all parts of the prompt; empty for a request without a prompt. */
  readonly parts: readonly string[];
}

/**
 * Returns the fingerprint of method, path, workspace and body and, if the request has a prompt, that
 * of the same with its parts: prompts may differ in their parts only.
 */
export function fingerprintsOf({
  body,
  method,
  parts,
  path,
  workspace = '',
}: RequestContent): readonly string[] {
  const head = JSON.stringify([method, path, workspace]);
  const content = createHash('sha256').update(head).update(body);
  return parts.length === 0
    ? [encode(content.digest())]
    : [encode(content.copy().digest()), encode(content.update(JSON.stringify(parts)).digest())];
}

/** Whether a possible cause of crashes is a fingerprint; otherwise it is a part of prompts. */
export function isFingerprint(cause: string): boolean {
  return cause.startsWith(PREFIX);
}

function encode(digest: Buffer): string {
  return `${PREFIX}${digest.subarray(0, DIGEST_BYTES).toString('base64url')}`;
}
