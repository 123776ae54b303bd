/** The client of an operator for the configuration, status and time line of one daemon. */
import {
  type ConfigurationObject,
  objectSchema,
  type ObjectChange,
} from '@tanagerdyke/configuration';
import type { ServiceError } from '@tanagerdyke/kernel';
import type { Result } from 'true-myth';
import * as z from 'zod';
import { requestJson } from './HttpExchange.js';

const inForceSchema = z.object({
  offset: z.number(),
  digest: z.string(),
  objects: z.array(objectSchema),
});
const acceptedSchema = z.object({ id: z.string(), offset: z.number(), digest: z.string() });
const memberSchema = z.object({
  name: z.string(),
  callerAddress: z.string(),
  availabilityZone: z.string(),
  incarnation: z.number(),
  status: z.string(),
  state: z.object({
    configurationOffset: z.number(),
    configurationDigest: z.string(),
    isReady: z.boolean(),
    isDraining: z.boolean(),
  }),
});
const daemonStatusSchema = z.object({
  node: z.string(),
  incarnation: z.number(),
  isReady: z.boolean(),
  isDraining: z.boolean(),
  configuration: z.object({ offset: z.number(), digest: z.string() }),
  running: z.number(),
  violations: z.number(),
  wallTime: z.number(),
  members: z.array(memberSchema),
});
const eventSchema = z.object({
  sequence: z.number(),
  at: z.number(),
  node: z.string(),
  incarnation: z.number(),
  name: z.string(),
  fields: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});
const timeLineSchema = z.object({
  wallTime: z.number(),
  /** Sequence number of the next event. */
  next: z.number(),
  events: z.array(eventSchema),
});
const logsSchema = z.object({ namespaces: z.string() });

export type DaemonStatus = z.infer<typeof daemonStatusSchema>;
export type TimeLinePage = z.infer<typeof timeLineSchema>;

/** The configuration in force on a daemon. */
export interface ObjectsInForce {
  readonly offset: number;
  readonly digest: string;
  readonly objects: readonly ConfigurationObject[];
}

/** The answer to an accepted publish. */
export type PublishAnswer = z.infer<typeof acceptedSchema>;

/** Sends operator requests to one daemon. */
export class OperatorClient {
  constructor(
    private readonly _address: string,
    private readonly _token: string,
  ) {}

  public configuration(): Promise<Result<ObjectsInForce, ServiceError>> {
    return this._get('configuration', inForceSchema);
  }

  public status(): Promise<Result<DaemonStatus, ServiceError>> {
    return this._get('status', daemonStatusSchema);
  }

  public timeLine(from: number, limit: number): Promise<Result<TimeLinePage, ServiceError>> {
    return this._get(`timeline?from=${from}&limit=${limit}`, timeLineSchema);
  }

  public publish(
    id: string,
    base: number,
    change: ObjectChange,
  ): Promise<Result<PublishAnswer, ServiceError>> {
    return requestJson(
      {
        method: 'POST',
        url: `${this._address}/v1/operator/configuration`,
        token: this._token,
        body: JSON.stringify({ id, base, ...change }),
      },
      acceptedSchema,
    );
  }

  /** Sets the log namespaces of this daemon, as a pattern of the `debug` package. */
  public setLogs(namespaces: string): Promise<Result<{ namespaces: string }, ServiceError>> {
    return requestJson(
      {
        method: 'POST',
        url: `${this._address}/v1/operator/logs`,
        token: this._token,
        body: JSON.stringify({ namespaces }),
      },
      logsSchema,
    );
  }

  private _get<T>(path: string, schema: z.ZodType<T>): Promise<Result<T, ServiceError>> {
    const url = `${this._address}/v1/operator/${path}`;
    return requestJson({ method: 'GET', url, token: this._token }, schema);
  }
}
