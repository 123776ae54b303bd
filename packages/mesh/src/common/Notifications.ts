/** Datagrams as JSON-RPC 2.0 notifications. Several protocols share one port, told apart by method. */
import { createJSONRPCNotification } from 'json-rpc-2.0';
import type * as z from 'zod';

/** The text of a notification. */
export function encodeNotification(method: string, params: unknown): string {
  return JSON.stringify(createJSONRPCNotification(method, params));
}

/**
 * Reads notifications of one method; a datagram of another protocol or a damaged one is nothing.
 *
 * @param read checks and returns the parameters, or returns nothing
 */
export function notificationParser<T>(
  method: string,
  read: (params: unknown) => T | undefined,
): (payload: string) => T | undefined {
  const name = JSON.stringify(method);
  return (payload) => {
    // Most datagrams of other protocols are told apart without parsing.
    if (!payload.includes(name)) {
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

/** A reader for `notificationParser` by a schema. */
export function bySchema<T>(schema: z.ZodType<T>): (params: unknown) => T | undefined {
  return (params) => schema.safeParse(params).data;
}
