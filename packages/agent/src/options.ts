import * as controlClient from '@ebonyweir/control-client'
import * as protocol from '@ebonyweir/protocol'

/** Settings of the agent role. Addresses are "host:port". */
export interface AgentOptions {
  readonly cell: string
  readonly name: string
  readonly failureDomain: string
  /** Listen address for entry instances. */
  readonly grpcAddress: string
  /** Listen address for the endpoints of this instance, metrics and health checks. */
  readonly httpAddress: string
  readonly controlAddresses: readonly string[]
  /** Worker name of this instance. Relates the usage of the worker to that of its endpoints. */
  readonly worker: string
  /** Maximum size of an answer from an endpoint. @default 16 MiB */
  readonly maxAnswerBytes?: number
  /** Maximum time that `stop` waits for running requests. @default 30000 */
  readonly shutdownTimeoutMs?: number
  /** Limit on the total size of answers kept for Resolve and resends. @default 4 MiB */
  readonly retainedBytes?: number
  /** Queue length per endpoint. @default 8 */
  readonly queuePerEndpoint?: number
  /** Interval between syncs with control. @default 1000 */
  readonly syncIntervalMs?: number
  /** Address advertised to entry instances, if different from `grpcAddress`. @default grpcAddress */
  readonly advertisedAddress?: string
  /** @default silentLogger */
  readonly logger?: controlClient.logger.Logger
}

export interface ResolvedAgentOptions extends Required<Omit<AgentOptions, 'advertisedAddress'>> {
  readonly advertisedAddress: string | undefined
}

/** Applies the defaults. */
export const resolveAgentOptions = (options: AgentOptions): ResolvedAgentOptions => ({
  maxAnswerBytes: protocol.limits.DEFAULT_MAX_ANSWER_BYTES,
  shutdownTimeoutMs: 30_000,
  retainedBytes: 4 * 1024 * 1024,
  queuePerEndpoint: 8,
  syncIntervalMs: 1_000,
  logger: controlClient.logger.silentLogger,
  ...options,
  // The settings file uses an empty string for the default address.
  advertisedAddress: options.advertisedAddress === '' ? undefined : options.advertisedAddress,
})
