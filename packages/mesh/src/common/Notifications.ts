/**
 * Encoding of datagrams as JSON-RPC 2.0 notifications. Several protocols share one port; the method
 * distinguishes them.
 */
import { createJSONRPCNotification } from 'json-rpc-2.0';
import type * as z from 'zod';

export function encodeNotification(method: string, params: unknown): string {
  return JSON.stringify(createJSONRPCNotification(method, params));
}

/**
 * Returns a parser for notifications of one method. The parser returns `undefined` for malformed
 * datagrams and those of other protocols.
 *
 * @param read validates and returns the parameters, or returns `undefined`
 */
export function notificationParser<T>(
  method: string,
  read: (params: unknown) => T | undefined,
): (payload: string) => T | undefined {
  const quotedMethod = JSON.stringify(method);
  return (payload) => {
    // Rejects most datagrams of other protocols without parsing them.
    if (!payload.includes(quotedMethod)) {
      return undefined;
    }
    try {
      const notification = JSON.parse(payload) as { method?: unknown; params?: unknown } | null;
      return notification?.method === method ? read(notification.params) : undefined;
    } catch {
      return undefined;
    }
  };
}

/** Returns a `read` function for `notificationParser` that validates with a schema. */
export function schemaReader<T>(schema: z.ZodType<T>): (params: unknown) => T | undefined {
  return (params) => schema.safeParse(params).data;
}
