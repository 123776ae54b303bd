/** Conversion between service errors and JSON-RPC 2.0 error objects. */
import { ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';
import { JSONRPCErrorException } from 'json-rpc-2.0';
import * as z from 'zod';

/** The JSON-RPC error code of all service errors; the error data holds the kind. */
const SERVICE_ERROR_CODE = -32_000;

const dataSchema = z.object({
  kind: z.enum(ErrorKind),
  remedy: z.string(),
  notRun: z.enum(NotRun),
  retryAfterMs: z.number().optional(),
  findings: z.array(z.string()),
});

/** Converts a service error to the exception that a JSON-RPC handler throws. */
export function toRpcException(error: ServiceError): JSONRPCErrorException {
  const { kind, remedy, notRun, retryAfterMs, findings } = error;
  const data = { kind, remedy, notRun, retryAfterMs, findings };
  return new JSONRPCErrorException(error.message, SERVICE_ERROR_CODE, data);
}

/** Converts the rejection of a JSON-RPC call; `LinkFailed` when it carries no service error. */
export function fromRpcException(caught: unknown, address: string): ServiceError {
  if (caught instanceof JSONRPCErrorException) {
    const parsed = dataSchema.safeParse(caught.data);
    if (parsed.success) {
      return new ServiceError(parsed.data.kind, caught.message, parsed.data);
    }
  }
  const message = caught instanceof Error ? caught.message : String(caught);
  return new ServiceError(ErrorKind.LinkFailed, `request to peer ${address} failed: ${message}`, {
    remedy: 'check that the peer runs and that its port is reachable',
    cause: caught,
  });
}
