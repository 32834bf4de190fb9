import * as controlClient from '@ebonyweir/control-client'
import * as protocol from '@ebonyweir/protocol'

/** Settings of the entry role. Addresses are "host:port". */
export interface EntryOptions {
  readonly cell: string
  readonly name: string
  readonly failureDomain: string
  /** Address for callers, metrics and health. */
  readonly httpAddress: string
  readonly controlAddresses: readonly string[]
  /** Largest request body that is accepted. @default 1 MiB */
  readonly maxRequestBytes?: number
  /** Time for which `stop` keeps serving while /healthz answers 503. @default 5000 */
  readonly shutdownGraceMs?: number
  /** Longest time for which `stop` then waits for requests in progress. @default 30000 */
  readonly shutdownTimeoutMs?: number
  /** Largest headers of a request, in bytes. @default 16384 */
  readonly maxHeaderBytes?: number
  /** Requests in progress; above it new ones are refused. @default 4096 */
  readonly maxRequests?: number
  /** Bytes of request bodies held at a time; above it new requests are refused. @default 64 MiB */
  readonly maxBufferedBytes?: number
  /** Longest deadline that a caller may ask for. @default 60000 */
  readonly maxTimeoutMs?: number
  /** Interval of the sync with control. @default 1000 */
  readonly syncIntervalMs?: number
  /** Interval and deadline of probes to agents. @default 500 */
  readonly probeIntervalMs?: number
  /** Longest time to find out what became of an undecided request. @default 2000 */
  readonly resolveTimeoutMs?: number
  /** @default silentLogger */
  readonly logger?: controlClient.logger.Logger
}

export type ResolvedEntryOptions = Required<EntryOptions>

/** Fills in the defaults. */
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
