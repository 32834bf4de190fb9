/** Audit of worker records: overlapping runs, attempts, checkpoints, capacity, failure domains. */
import * as types from './auditTypes.js'
import type * as record from './record.js'

type Records = readonly record.ObserverRecord[]

/** Latest time at which a process can have done work for a task without a stop record. */
const lastPossibleWorkMs = (records: Records, pid: number): number => {
  const exit = types.ofKind(records, 'processExited').find((r) => r.processId === pid)
  const signals = types
    .ofKind(records, 'processSignalled')
    .filter((r) => r.processId === pid && (r.signal === 'SIGSTOP' || r.signal === 'SIGCONT'))
  const last = signals.at(-1)
  if (last?.signal === 'SIGSTOP') return last.atMs
  return exit?.atMs ?? Infinity
}

/** Pairs start and stop records into runs. */
export const taskRuns = (records: Records): readonly types.TaskRun[] => {
  const stops = types.groupBy(
    types.ofKind(records, 'taskStopped'),
    (r) => `${r.pid} ${r.worker} ${r.task} ${r.attempt}`,
  )
  const endMsByPid = new Map<number, number>()
  const endMsOf = (pid: number): number => {
    const known = endMsByPid.get(pid) ?? lastPossibleWorkMs(records, pid)
    endMsByPid.set(pid, known)
    return known
  }
  return types.ofKind(records, 'taskStarted').map((start) => {
    const key = `${start.pid} ${start.worker} ${start.task} ${start.attempt}`
    const stop = stops.get(key)?.find((s) => s.atMs >= start.atMs)
    const { worker, pid, task, attempt, checkpoint, failureDomain, resources } = start
    const fields = { worker, pid, task, attempt, checkpoint, failureDomain, resources }
    return { ...fields, startMs: start.atMs, endMs: stop?.lastWorkedMs ?? endMsOf(pid), stop }
  })
}

const describeRun = (run: types.TaskRun): string =>
  `${run.task} attempt ${run.attempt} on ${run.worker}`

const auditOverlappingRuns = (runs: readonly types.TaskRun[]): readonly types.Finding[] =>
  runs.flatMap((run, index) =>
    runs
      .slice(index + 1)
      .filter((later) => later.startMs < run.endMs)
      .map((later) => ({
        rule: 'task in two places' as const,
        detail: `${describeRun(run)} worked until ${Math.round(run.endMs)}, ${describeRun(later)} started at ${Math.round(later.startMs)}`,
        atMs: later.startMs,
      })),
  )

const auditAttemptOrder = (runs: readonly types.TaskRun[]): readonly types.Finding[] =>
  runs.slice(1).flatMap((run, index) => {
    const previous = runs[index]
    if (previous === undefined || run.attempt > previous.attempt) return []
    const isRestart = run.attempt === previous.attempt && run.worker === previous.worker
    if (isRestart && previous.stop === undefined) return []
    const detail = `${describeRun(run)} started after ${describeRun(previous)}`
    return [{ rule: 'attempt order' as const, detail, atMs: run.startMs }]
  })

/** Runs whose end was acknowledged, each with the time of the acknowledgement. */
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

const auditRunsAfterCompletion = (
  records: Records,
  runs: readonly types.TaskRun[],
): readonly types.Finding[] => {
  const completed = acknowledgedEnds(records, runs).find((run) => run.stop?.outcome === 'completed')
  if (completed === undefined) return []
  return runs
    .filter((run) => run.startMs > completed.startMs)
    .map((run) => ({
      rule: 'completed again' as const,
      detail: `${describeRun(run)} started after ${describeRun(completed)} was acknowledged as completed`,
      atMs: run.startMs,
    }))
}

const earlierEvictedRuns = <R extends types.TaskRun>(runs: readonly R[], run: types.TaskRun) =>
  runs.filter((r) => r.attempt < run.attempt && r.stop?.outcome === 'evicted' && r.stop.checkpoint)

const auditCheckpoints = (
  records: Records,
  runs: readonly types.TaskRun[],
): readonly types.Finding[] => {
  const acknowledged = acknowledgedEnds(records, runs)
  return runs.flatMap((run) => {
    const earlier = earlierEvictedRuns(runs, run)
    // An end that arrives after the next attempt started is acknowledged, but its checkpoint is not used.
    const acknowledgedInTime = acknowledged.filter(
      (r) => !runs.some((n) => n.attempt > r.attempt && n.startMs < r.acknowledgedMs),
    )
    const newestAcknowledged = earlierEvictedRuns(acknowledgedInTime, run).at(-1)
    const source = earlier.findLast((r) => r.stop?.checkpoint === run.checkpoint)
    const known = run.checkpoint === '' ? newestAcknowledged === undefined : source !== undefined
    const outdated =
      newestAcknowledged !== undefined &&
      source !== undefined &&
      source.attempt < newestAcknowledged.attempt
    if (known && !outdated) return []
    const detail = `${describeRun(run)} started from "${run.checkpoint}", the last acknowledged checkpoint is "${newestAcknowledged?.stop?.checkpoint ?? ''}"`
    return [{ rule: 'checkpoint' as const, detail, atMs: run.startMs }]
  })
}

const auditCapacity = (records: Records): readonly types.Finding[] => {
  const capacities = new Map<string, record.Resources>()
  const allocations = new Map<string, Map<string, record.Resources>>()
  const findings: types.Finding[] = []
  for (const r of records) {
    if (r.kind === 'workerUp') capacities.set(`${r.pid} ${r.worker}`, r.capacity)
    if (r.kind !== 'taskStarted' && r.kind !== 'taskStopped') continue
    const key = `${r.pid} ${r.worker}`
    const tasks = allocations.get(key) ?? new Map<string, record.Resources>()
    allocations.set(key, tasks)
    if (r.kind === 'taskStopped') tasks.delete(`${r.task} ${r.attempt}`)
    else tasks.set(`${r.task} ${r.attempt}`, r.resources)
    const capacity = capacities.get(key)
    const exceeded = (['cpuMillis', 'memoryMb', 'accelerators'] as const).filter((name) => {
      const sum = [...tasks.values()].reduce((total, size) => total + size[name], 0)
      return capacity === undefined || sum > capacity[name]
    })
    if (r.kind === 'taskStarted' && exceeded.length > 0) {
      const detail = `${r.worker} exceeds its capacity in ${exceeded.join(', ')} after the start of ${r.task}`
      findings.push({ rule: 'capacity', detail, atMs: r.atMs })
    }
  }
  return findings
}

const auditStartsDuringOutage = (
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
        detail: `${describeRun(run)} started ${Math.round(run.startMs - outage.fromMs)} ms after ${outage.failureDomain} was taken out`,
        atMs: run.startMs,
      })),
  )

/** Applies all task rules. */
export const auditTasks = (
  records: Records,
  options: types.AuditOptions,
): readonly types.Finding[] => {
  const runs = taskRuns(records)
  const perTask = [...types.groupBy(runs, (run) => run.task).values()].flatMap((group) => [
    ...auditOverlappingRuns(group),
    ...auditAttemptOrder(group),
    ...auditRunsAfterCompletion(records, group),
    ...auditCheckpoints(records, group),
  ])
  const outStartMs = options.outStartMs ?? 3000
  return [
    ...perTask,
    ...auditCapacity(records),
    ...auditStartsDuringOutage(records, runs, outStartMs),
  ]
}
