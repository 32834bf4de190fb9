import * as controlClient from '@ebonyweir/control-client'
import * as protocol from '@ebonyweir/protocol'

/** Settings of the entry role. Addresses are "host:port". */
export interface EntryOptions {
  readonly cell: string
  readonly name: string
  readonly failureDomain: string
  /** Listen address for callers, metrics and health checks. */
  readonly httpAddress: string
  readonly controlAddresses: readonly string[]
  /** Maximum size of a request body. @default 1 MiB */
  readonly maxRequestBytes?: number
  /** Time for which `stop` keeps accepting requests while /healthz answers 503. @default 5000 */
  readonly shutdownGraceMs?: number
  /** Maximum time that `stop` then waits for requests in progress. @default 30000 */
  readonly shutdownTimeoutMs?: number
  /** Maximum total size of request headers, in bytes. @default 16384 */
  readonly maxHeaderBytes?: number
  /** Limit on requests in progress. Further requests are refused. @default 4096 */
  readonly maxRequests?: number
  /** Limit on buffered request bodies, in bytes. Further requests are refused. @default 64 MiB */
  readonly maxBufferedBytes?: number
  /** Maximum timeout that a caller may request. @default 60000 */
  readonly maxTimeoutMs?: number
  /** Interval between syncs with control. @default 1000 */
  readonly syncIntervalMs?: number
  /** Interval and timeout of agent probes. @default 500 */
  readonly probeIntervalMs?: number
  /** Maximum time spent resolving a request with an unknown outcome. @default 2000 */
  readonly resolveTimeoutMs?: number
  /** @default silentLogger */
  readonly logger?: controlClient.logger.Logger
}

export type ResolvedEntryOptions = Required<EntryOptions>

/** Applies the defaults. */
export const resolveEntryOptions = (options: EntryOptions): ResolvedEntryOptions => ({
  maxRequestBytes: protocol.limits.DEFAULT_MAX_REQUEST_BYTES,
  shutdownGraceMs: 5_000,
  shutdownTimeoutMs: 30_000,
  maxHeaderBytes: 16 * 1024,
  maxRequests: 4_096,
  maxBufferedBytes: 64 * 1024 * 1024,
  maxTimeoutMs: 60_000,
  syncIntervalMs: 1_000,
  probeIntervalMs: 500,
  resolveTimeoutMs: 2_000,
  logger: controlClient.logger.silentLogger,
  ...options,
})
