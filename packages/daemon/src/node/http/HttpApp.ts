/** Types of the HTTP application on which the route modules register their handlers. */
import type { HttpBindings } from '@hono/node-server';
import type { Context, Hono } from 'hono';

/** A Hono application with the Node.js request and response among its bindings. */
export type HttpApp = Hono<{ Bindings: HttpBindings }>;

/** The context of a request to an `HttpApp`. */
export type HttpContext = Context<{ Bindings: HttpBindings }>;
