/** Options of the control role. */
import type * as storage from '@ebonyweir/storage'
import type * as telemetry from '@ebonyweir/telemetry/logger'
import type * as schedulingOptions from './schedulingOptions.js'
import type * as timing from './timing.js'

export interface WorkflowControlOptions {
  readonly cell: string
  readonly name: string
  readonly failureDomain: string
  /** Address at which other processes of the cell reach this one, "host:port". */
  readonly grpcAddress: string
  /** Folder that holds the replica's identity, log and snapshots. */
  readonly dataFolder: string
  /** Configured gRPC addresses of replicas; read at each use. */
  readonly seeds: () => readonly string[]
  /** Whether the seeds may form a new group; false if the system has run before. */
  readonly mayForm: boolean
  /** Number of simultaneously lost replicas to tolerate; the group has twice as many members plus one. */
  readonly toleratedLosses: number
  readonly timing: timing.Timing
  /** Start of the process on its monotonic clock; see `ReplicaOptions`. @default start of the role */
  readonly processStartMs?: number | undefined
  /** Time for which the state of an ended job can be read, in milliseconds. */
  readonly statusRetentionMs: number
  /** @default file system of the operating system */
  readonly fileSystem?: storage.FileSystem
  readonly logger: telemetry.Logger
  /** @default `DEFAULT_SCHEDULING_OPTIONS` */
  readonly scheduling?: schedulingOptions.SchedulingOptions
}
