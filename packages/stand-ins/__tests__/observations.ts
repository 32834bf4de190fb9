/** Builders of observer records for the audit tests. */
import type * as standIns from '@ebonyweir/stand-ins'

export type Observation = standIns.record.Observation
/** An observation with its time in milliseconds and the process that recorded it. */
export type TimedObservation = readonly [atMs: number, pid: number, observation: Observation]

export const TASK_RESOURCES = { cpuMillis: 1000, memoryMb: 100, accelerators: 0 }
export const up = (worker: string, cpuMillis = 4000): Observation => ({
  kind: 'workerUp',
  worker,
  incarnation: 1,
  failureDomain: 'a',
  capacity: { cpuMillis, memoryMb: 1000, accelerators: 0 },
})
export const start = (
  worker: string,
  task: string,
  attempt: number,
  checkpoint = '',
): Observation => ({
  kind: 'taskStarted',
  worker,
  incarnation: 1,
  failureDomain: 'a',
  task,
  attempt,
  resources: TASK_RESOURCES,
  checkpoint,
})
export const stop = (
  worker: string,
  task: string,
  attempt: number,
  lastWorkedMs: number,
  outcome = 'evicted',
  checkpoint = '',
): Observation => ({
  kind: 'taskStopped',
  worker,
  task,
  attempt,
  outcome,
  checkpoint,
  reason: '',
  lastWorkedMs,
})
export const acknowledged = (worker: string, task: string, attempt: number): Observation => ({
  kind: 'endAcknowledged',
  worker,
  task,
  attempt,
})
export const signal = (processId: number, name: string): Observation => ({
  kind: 'processSignalled',
  name: 'w',
  processId,
  signal: name,
})
export const exited = (processId: number): Observation => ({
  kind: 'processExited',
  name: 'w',
  processId,
  exitCode: 0,
})
export const sent = (token: string, send: number, idempotent = false): Observation => ({
  kind: 'requestSent',
  caller: 'c',
  token,
  send,
  key: '',
  idempotent,
  entry: 'e',
})
export const answered = (token: string, send: number, changes: object = {}): Observation => ({
  kind: 'requestAnswered',
  caller: 'c',
  token,
  send,
  status: 200,
  outcome: 'answered',
  requestId: '',
  whole: true,
  matched: true,
  detail: '',
  ...changes,
})
export const notRun = { status: 503, outcome: 'not-run' }
export const broken = (token: string, detail: string, byCaller: boolean): Observation => ({
  kind: 'requestBroken',
  caller: 'c',
  token,
  send: 1,
  sent: true,
  byCaller,
  detail,
})
export const ran = (token: string, endpoint = 'p'): Observation => ({
  kind: 'executionStarted',
  endpoint,
  failureDomain: 'a',
  token,
  execution: 1,
  idempotent: false,
})
export const domain = (state: 'out' | 'in'): Observation => ({
  kind: 'failureDomainChanged',
  failureDomain: 'a',
  state,
})
export const leaving = (announced: boolean): Observation => ({
  kind: 'leaving',
  endpoint: 'p',
  announced,
})
export const accepted = (revision: number, digest = 'x'): Observation => ({
  kind: 'revisionAccepted',
  revision,
  digest,
})
export const seen = (revision: number, askedMs: number): Observation => ({
  kind: 'revisionSeen',
  process: 'entry-1',
  revision,
  askedMs,
})

export const stamped = (
  entries: readonly TimedObservation[],
): readonly standIns.record.ObserverRecord[] =>
  entries.map(([atMs, pid, observation]) => ({
    atMs,
    wallMs: 0,
    source: 's',
    pid,
    ...observation,
  }))
