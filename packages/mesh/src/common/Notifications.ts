/** Datagrams as JSON-RPC 2.0 notifications. Several protocols share one port, told apart by method. */
import { createJSONRPCNotification } from 'json-rpc-2.0';
import * as z from 'zod';

/** The text of a notification. */
export function encodeNotification(method: string, params: unknown): string {
  return JSON.stringify(createJSONRPCNotification(method, params));
}

/** Reads notifications of one method; a datagram of another protocol or a damaged one is nothing. */
export function notificationParser<T>(
  method: string,
  params: z.ZodType<T>,
): (payload: string) => T | undefined {
  const schema = z.object({ method: z.literal(method), params });
  const name = JSON.stringify(method);
  return (payload) => {
    // Most datagrams of other protocols are told apart without parsing.
    if (!payload.includes(name)) {
      return undefined;
    }
    try {
      const parsed = schema.safeParse(JSON.parse(payload));
      return parsed.success ? parsed.data.params : undefined;
    } catch {
      return undefined;
    }
  };
}
