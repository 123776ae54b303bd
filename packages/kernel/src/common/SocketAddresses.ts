/** Addresses as text, `host:port`, as they come from outside. */

const MAX_PORT = 65_535;
const IPV4 = /^(?:(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)(?:\.(?!$)|$)){4}$/;

/** Where to connect to, or to send a datagram. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

/** Parses `host:port`; returns `undefined` if the port is missing, or no port to connect to. */
export function parseSocketAddress(text: string): SocketAddress | undefined {
  const separator = text.lastIndexOf(':');
  const host = text.slice(0, Math.max(0, separator));
  const port = text.slice(separator + 1);
  return host !== '' && /^\d{1,5}$/.test(port) && Number(port) > 0 && Number(port) <= MAX_PORT
    ? { host, port: Number(port) }
    : undefined;
}

/** Whether a text is an IPv4 address with a port to connect to. */
export function isIpv4SocketAddress(text: string): boolean {
  return IPV4.test(parseSocketAddress(text)?.host ?? '');
}
