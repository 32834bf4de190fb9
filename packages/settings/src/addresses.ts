/** "host:port" addresses of processes. */
import * as net from 'node:net'

/** An IP address and a port. */
export interface HostPort {
  readonly host: string
  readonly port: number
}

const ADDRESS = /^(?:\[(?<v6>[^\]]+)\]|(?<v4>[^:[\]]+)):(?<port>\d{1,5})$/u
const MAX_PORT = 65_535
const UNSPECIFIED_HOSTS: ReadonlySet<string> = new Set(['0.0.0.0', '::'])

/** Splits "10.0.0.1:7000" or "[fd00::1]:7000"; undefined for any other form. */
export function parseAddress(address: string): HostPort | undefined {
  const groups = ADDRESS.exec(address)?.groups
  if (groups === undefined) return undefined
  const host = groups.v6 ?? groups.v4 ?? ''
  const port = Number(groups.port)
  const family = groups.v6 === undefined ? 4 : 6
  return net.isIP(host) === family && port <= MAX_PORT ? { host, port } : undefined
}

/** True for an address that other processes can reach; with port 0 the system chooses the port. */
export function isListenAddress(address: string): boolean {
  const parsed = parseAddress(address)
  return parsed !== undefined && !UNSPECIFIED_HOSTS.has(parsed.host)
}

/** True for an address to connect to. */
export function isPeerAddress(address: string): boolean {
  return isListenAddress(address) && parseAddress(address)?.port !== 0
}
