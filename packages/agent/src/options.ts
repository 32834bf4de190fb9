import * as controlClient from '@ebonyweir/control-client'
import * as protocol from '@ebonyweir/protocol'

/** Settings of the agent role. Addresses are "host:port". */
export interface AgentOptions {
  readonly cell: string
  readonly name: string
  readonly failureDomain: string
  /** Address for entry instances. */
  readonly grpcAddress: string
  /** Address for the endpoints of this instance, metrics and health. */
  readonly httpAddress: string
  readonly controlAddresses: readonly string[]
  /** Name of the instance; joins the usage of the worker with that of its endpoints. */
  readonly worker: string
  /** Largest answer that is accepted from an endpoint. @default 16 MiB */
  readonly maxAnswerBytes?: number
  /** Longest time for which `stop` waits for running requests. @default 30000 */
  readonly shutdownTimeoutMs?: number
  /** Answers that are kept for Resolve and for resends. @default 4 MiB */
  readonly retainedBytes?: number
  /** Requests that wait for one endpoint. @default 8 */
  readonly queuePerEndpoint?: number
  /** Interval of the sync with control. @default 1000 */
  readonly syncIntervalMs?: number
  /** Address given to entry instances, where it differs from `grpcAddress`. @default grpcAddress */
  readonly advertisedAddress?: string
  /** @default silentLogger */
  readonly logger?: controlClient.logger.Logger
}

export interface ResolvedAgentOptions extends Required<Omit<AgentOptions, 'advertisedAddress'>> {
  readonly advertisedAddress: string | undefined
}

/** Fills in the defaults. */
export const resolveAgentOptions = (options: AgentOptions): ResolvedAgentOptions => ({
  maxAnswerBytes: protocol.limits.DEFAULT_MAX_ANSWER_BYTES,
  shutdownTimeoutMs: 30_000,
  retainedBytes: 4 * 1024 * 1024,
  queuePerEndpoint: 8,
  syncIntervalMs: 1_000,
  logger: controlClient.logger.silentLogger,
  ...options,
  // The settings file has an empty text where no other address is wanted.
  advertisedAddress: options.advertisedAddress === '' ? undefined : options.advertisedAddress,
})
