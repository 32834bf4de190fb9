/** Audit of the workers' records: places, attempts, checkpoints, capacity, failure domains. */
import * as types from './auditTypes.js'
import type * as record from './record.js'

type Records = readonly record.ObserverRecord[]

/** Last time at which a process without a stop record can have worked. */
const lifeEnd = (records: Records, pid: number): number => {
  const exit = types.ofKind(records, 'processExited').find((r) => r.processId === pid)
  const signals = types
    .ofKind(records, 'processSignalled')
    .filter((r) => r.processId === pid && (r.signal === 'SIGSTOP' || r.signal === 'SIGCONT'))
  const last = signals.at(-1)
  if (last?.signal === 'SIGSTOP') return last.atMs
  return exit?.atMs ?? Infinity
}

/** Joins starts and stops into runs. */
export const taskRuns = (records: Records): readonly types.TaskRun[] => {
  const stops = types.groupBy(
    types.ofKind(records, 'taskStopped'),
    (r) => `${r.pid} ${r.worker} ${r.task} ${r.attempt}`,
  )
  const ends = new Map<number, number>()
  const endOf = (pid: number): number => {
    const known = ends.get(pid) ?? lifeEnd(records, pid)
    ends.set(pid, known)
    return known
  }
  return types.ofKind(records, 'taskStarted').map((start) => {
    const key = `${start.pid} ${start.worker} ${start.task} ${start.attempt}`
    const stop = stops.get(key)?.find((s) => s.atMs >= start.atMs)
    const { worker, pid, task, attempt, checkpoint, failureDomain, resources } = start
    const fields = { worker, pid, task, attempt, checkpoint, failureDomain, resources }
    return { ...fields, startMs: start.atMs, endMs: stop?.lastWorkedMs ?? endOf(pid), stop }
  })
}

const describe = (run: types.TaskRun): string =>
  `${run.task} attempt ${run.attempt} on ${run.worker}`

const auditPlaces = (runs: readonly types.TaskRun[]): readonly types.Finding[] =>
  runs.flatMap((run, index) =>
    runs
      .slice(index + 1)
      .filter((later) => later.startMs < run.endMs)
      .map((later) => ({
        rule: 'task in two places' as const,
        detail: `${describe(run)} worked until ${Math.round(run.endMs)}, ${describe(later)} started at ${Math.round(later.startMs)}`,
        atMs: later.startMs,
      })),
  )

const auditAttempts = (runs: readonly types.TaskRun[]): readonly types.Finding[] =>
  runs.slice(1).flatMap((run, index) => {
    const before = runs[index]
    if (before === undefined || run.attempt > before.attempt) return []
    const same = run.attempt === before.attempt && run.worker === before.worker
    if (same && before.stop === undefined) return []
    const detail = `${describe(run)} started after ${describe(before)}`
    return [{ rule: 'attempt order' as const, detail, atMs: run.startMs }]
  })

/** Runs whose end was acknowledged, with the time of the acknowledgement. */
const acknowledgedEnds = (records: Records, runs: readonly types.TaskRun[]) => {
  const acknowledged = new Map(
    types
      .ofKind(records, 'endAcknowledged')
      .map((r) => [`${r.pid} ${r.task} ${r.attempt}`, r.atMs]),
  )
  return runs.flatMap((run) => {
    const acknowledgedMs = acknowledged.get(`${run.pid} ${run.task} ${run.attempt}`)
    return acknowledgedMs === undefined ? [] : [{ ...run, acknowledgedMs }]
  })
}

const auditCompletion = (
  records: Records,
  runs: readonly types.TaskRun[],
): readonly types.Finding[] => {
  const done = acknowledgedEnds(records, runs).find((run) => run.stop?.outcome === 'completed')
  if (done === undefined) return []
  return runs
    .filter((run) => run.startMs > done.startMs)
    .map((run) => ({
      rule: 'completed again' as const,
      detail: `${describe(run)} started after ${describe(done)} was acknowledged as completed`,
      atMs: run.startMs,
    }))
}

const evictedBefore = <R extends types.TaskRun>(runs: readonly R[], run: types.TaskRun) =>
  runs.filter((r) => r.attempt < run.attempt && r.stop?.outcome === 'evicted' && r.stop.checkpoint)

const auditCheckpoints = (
  records: Records,
  runs: readonly types.TaskRun[],
): readonly types.Finding[] => {
  const acknowledged = acknowledgedEnds(records, runs)
  return runs.flatMap((run) => {
    const earlier = evictedBefore(runs, run)
    // An end that arrives after the next attempt started is acknowledged and changes nothing.
    const inTime = acknowledged.filter(
      (r) => !runs.some((n) => n.attempt > r.attempt && n.startMs < r.acknowledgedMs),
    )
    const floor = evictedBefore(inTime, run).at(-1)
    const source = earlier.findLast((r) => r.stop?.checkpoint === run.checkpoint)
    const known = run.checkpoint === '' ? floor === undefined : source !== undefined
    const old = floor !== undefined && source !== undefined && source.attempt < floor.attempt
    if (known && !old) return []
    const detail = `${describe(run)} started from "${run.checkpoint}", the last acknowledged checkpoint is "${floor?.stop?.checkpoint ?? ''}"`
    return [{ rule: 'checkpoint' as const, detail, atMs: run.startMs }]
  })
}

const auditCapacity = (records: Records): readonly types.Finding[] => {
  const capacities = new Map<string, record.Resources>()
  const held = new Map<string, Map<string, record.Resources>>()
  const findings: types.Finding[] = []
  for (const r of records) {
    if (r.kind === 'workerUp') capacities.set(`${r.pid} ${r.worker}`, r.capacity)
    if (r.kind !== 'taskStarted' && r.kind !== 'taskStopped') continue
    const key = `${r.pid} ${r.worker}`
    const tasks = held.get(key) ?? new Map<string, record.Resources>()
    held.set(key, tasks)
    if (r.kind === 'taskStopped') tasks.delete(`${r.task} ${r.attempt}`)
    else tasks.set(`${r.task} ${r.attempt}`, r.resources)
    const capacity = capacities.get(key)
    const over = (['cpuMillis', 'memoryMb', 'accelerators'] as const).filter((name) => {
      const sum = [...tasks.values()].reduce((total, size) => total + size[name], 0)
      return capacity === undefined || sum > capacity[name]
    })
    if (r.kind === 'taskStarted' && over.length > 0) {
      const detail = `${r.worker} holds more ${over.join(', ')} than it has after ${r.task}`
      findings.push({ rule: 'capacity', detail, atMs: r.atMs })
    }
  }
  return findings
}

const auditOutages = (
  records: Records,
  runs: readonly types.TaskRun[],
  graceMs: number,
): readonly types.Finding[] =>
  types.outages(records).flatMap((outage) =>
    runs
      .filter((run) => run.failureDomain === outage.failureDomain)
      .filter((run) => run.startMs > outage.fromMs + graceMs && run.startMs < outage.toMs)
      .map((run) => ({
        rule: 'start in a failure domain that is out' as const,
        detail: `${describe(run)} started ${Math.round(run.startMs - outage.fromMs)} ms after ${outage.failureDomain} was taken out`,
        atMs: run.startMs,
      })),
  )

/** Checks everything that concerns tasks. */
export const auditTasks = (
  records: Records,
  options: types.AuditOptions,
): readonly types.Finding[] => {
  const runs = taskRuns(records)
  const perTask = [...types.groupBy(runs, (run) => run.task).values()].flatMap((group) => [
    ...auditPlaces(group),
    ...auditAttempts(group),
    ...auditCompletion(records, group),
    ...auditCheckpoints(records, group),
  ])
  const outStartMs = options.outStartMs ?? 3000
  return [...perTask, ...auditCapacity(records), ...auditOutages(records, runs, outStartMs)]
}
