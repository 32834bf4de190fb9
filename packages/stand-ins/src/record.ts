/** Observer records: events that a stand-in logs as they happen, for the audit. */
import * as fs from 'node:fs'
import * as path from 'node:path'

/** CPU in thousandths of a core, memory in MiB, accelerators in whole devices. */
export interface Resources {
  readonly cpuMillis: number
  readonly memoryMb: number
  readonly accelerators: number
}

/** Fields common to all records. */
export interface RecordStamp {
  /** Monotonic time of the machine in milliseconds; comparable across its processes. */
  readonly atMs: number
  /** Wall clock in milliseconds since the epoch; informational. */
  readonly wallMs: number
  /** Name of the stand-in that wrote the record. */
  readonly source: string
  /** Process id of the stand-in. */
  readonly pid: number
}

/** An observed event. */
export type Observation =
  | {
      readonly kind: 'workerUp'
      readonly worker: string
      readonly incarnation: number
      readonly failureDomain: string
      readonly capacity: Resources
    }
  | {
      readonly kind: 'taskStarted'
      readonly worker: string
      readonly incarnation: number
      readonly failureDomain: string
      readonly task: string
      readonly attempt: number
      readonly resources: Resources
      readonly checkpoint: string
    }
  | {
      readonly kind: 'taskStopped'
      readonly worker: string
      readonly task: string
      readonly attempt: number
      readonly outcome: string
      readonly checkpoint: string
      readonly reason: string
      /** Last time at which the task did work; earlier than the record itself after a freeze. */
      readonly lastWorkedMs: number
    }
  | {
      readonly kind: 'endAcknowledged'
      readonly worker: string
      readonly task: string
      readonly attempt: number
    }
  | {
      readonly kind: 'replyIgnored'
      readonly worker: string
      readonly reason: string
      readonly ageMs: number
    }
  | { readonly kind: 'leaseEnded'; readonly worker: string; readonly lateMs: number }
  | {
      readonly kind: 'executionStarted'
      readonly endpoint: string
      readonly failureDomain: string
      readonly token: string
      readonly execution: number
      readonly idempotent: boolean
    }
  | {
      readonly kind: 'executionEnded'
      readonly endpoint: string
      readonly token: string
      readonly execution: number
      readonly whole: boolean
    }
  | {
      readonly kind: 'limits'
      readonly endpoint: string
      readonly slots: number
      readonly connections: number
    }
  | { readonly kind: 'concurrency'; readonly endpoint: string; readonly running: number }
  | { readonly kind: 'connectionsOpen'; readonly endpoint: string; readonly open: number }
  | { readonly kind: 'leaving'; readonly endpoint: string; readonly announced: boolean }
  | {
      readonly kind: 'requestSent'
      readonly caller: string
      readonly token: string
      readonly send: number
      readonly key: string
      readonly idempotent: boolean
      readonly entry: string
    }
  | {
      readonly kind: 'requestAnswered'
      readonly caller: string
      readonly token: string
      readonly send: number
      readonly status: number
      /** Value of the `ebonyweir-outcome` header; empty if absent. */
      readonly outcome: string
      readonly requestId: string
      readonly whole: boolean
      /** True if the echo in the answer belongs to this request. */
      readonly matched: boolean
      readonly detail: string
    }
  | {
      readonly kind: 'requestBroken'
      readonly caller: string
      readonly token: string
      readonly send: number
      /** False if no connection was established, so nothing can have been sent. */
      readonly sent: boolean
      /** True if the caller itself aborted the request or timed out. */
      readonly byCaller: boolean
      readonly detail: string
    }
  | {
      readonly kind: 'processStarted'
      readonly name: string
      readonly processId: number
      /** Address for callers, "host:port"; empty for none. */
      readonly address: string
    }
  | {
      readonly kind: 'processSignalled'
      readonly name: string
      readonly processId: number
      readonly signal: string
    }
  | {
      readonly kind: 'processExited'
      readonly name: string
      readonly processId: number
      readonly exitCode: number
    }
  | {
      readonly kind: 'failureDomainChanged'
      readonly failureDomain: string
      readonly state: 'out' | 'in'
    }
  | { readonly kind: 'revisionAccepted'; readonly revision: number; readonly digest: string }
  | {
      readonly kind: 'revisionSeen'
      readonly process: string
      readonly revision: number
      /** Monotonic time at which the query was sent. */
      readonly askedMs: number
    }

/** An observation with the common fields. */
export type ObserverRecord = RecordStamp & Observation

/** Appends observations to one record file. */
export interface Recorder {
  readonly record: (observation: Observation) => void
  readonly close: () => void
}

/** Monotonic time of the machine in milliseconds. */
export const monotonicMs = (): number => Number(process.hrtime.bigint()) / 1e6

/**
 * Creates a recorder that appends JSON lines to `file`; an empty name discards them.
 * Lines are written synchronously, so that none is lost when the process is killed.
 */
export const createRecorder = (file: string, source: string): Recorder => {
  if (file === '') return { record: () => undefined, close: () => undefined }
  fs.mkdirSync(path.dirname(file), { recursive: true })
  const descriptor = fs.openSync(file, 'a')
  return {
    record: (observation) => {
      const stamp = { atMs: monotonicMs(), wallMs: Date.now(), source, pid: process.pid }
      fs.writeSync(descriptor, `${JSON.stringify({ ...stamp, ...observation })}\n`)
    },
    close: () => {
      fs.closeSync(descriptor)
    },
  }
}

/** Parses record lines; skips a partial last line left by a killed process. */
export const parseRecords = (text: string): readonly ObserverRecord[] =>
  text
    .split('\n')
    .filter((line) => line.startsWith('{') && line.endsWith('}'))
    .map((line) => JSON.parse(line) as ObserverRecord)

/** Reads all record files of a folder, sorted by monotonic time. */
export const readRecords = (folder: string): readonly ObserverRecord[] =>
  fs
    .readdirSync(folder)
    .filter((name) => name.endsWith('.jsonl'))
    .flatMap((name) => parseRecords(fs.readFileSync(path.join(folder, name), 'utf8')))
    .toSorted((a, b) => a.atMs - b.atMs)
