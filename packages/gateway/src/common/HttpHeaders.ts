/** Lookups in raw header lists, and removal of hop-by-hop headers (RFC 9110). */
import type { RawHeaders } from './Messages.js';

const HOP_BY_HOP = new Set([
  'connection',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** The first value of a header. Names are compared without case; `name` must be in lower case. */
export function findHeader(headers: RawHeaders, name: string): string | undefined {
  for (let at = 0; at + 1 < headers.length; at += 2) {
    if (headers[at]?.toLowerCase() === name) {
      return headers[at + 1];
    }
  }
  return undefined;
}

/** The length of the body that the headers state; 0 if they state none. */
export function statedLength(headers: RawHeaders): number {
  const text = findHeader(headers, 'content-length') ?? '';
  return /^\d+$/.test(text) ? Number(text) : 0;
}

/** The end-to-end headers whose lower-case names are not among `dropped`. */
export function keepEndToEnd(headers: RawHeaders, dropped: ReadonlySet<string>): string[] {
  const connectionHeaders = new Set(
    (findHeader(headers, 'connection') ?? '').split(',').map((name) => name.trim().toLowerCase()),
  );
  const kept: string[] = [];
  for (let at = 0; at + 1 < headers.length; at += 2) {
    const name = headers[at] ?? '';
    const lower = name.toLowerCase();
    if (!HOP_BY_HOP.has(lower) && !connectionHeaders.has(lower) && !dropped.has(lower)) {
      kept.push(name, headers[at + 1] ?? '');
    }
  }
  return kept;
}
