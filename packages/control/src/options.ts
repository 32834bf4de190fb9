/** Options of the control role. */
import type * as telemetry from '@ebonyweir/telemetry'

export interface ControlOptions {
  readonly cell: string
  readonly name: string
  readonly failureDomain: string
  /** Rack of the instance, as reported by the operator API. @default '' */
  readonly rack?: string
  /** Address of the gRPC server, "host:port". */
  readonly grpcAddress: string
  /** Address of the HTTP server for operators and workers, "host:port". */
  readonly httpAddress: string
  /** Folder that holds the replica's identity, log and snapshots. */
  readonly dataFolder: string
  /** Interval between scheduling decisions, in milliseconds. @default 200 */
  readonly scheduleIntervalMs?: number
  /** Interval between syncs that is sent to workers, in milliseconds. @default 1000 */
  readonly workerSyncIntervalMs?: number
  readonly logger: telemetry.Logger
}

export type ResolvedControlOptions = Required<ControlOptions>

export const resolveControlOptions = (options: ControlOptions): ResolvedControlOptions => ({
  ...options,
  rack: options.rack ?? '',
  scheduleIntervalMs: options.scheduleIntervalMs ?? 200,
  workerSyncIntervalMs: options.workerSyncIntervalMs ?? 1000,
})
