/** Simulation of best-effort jobs that compete for a constant supply, without a network. */
import * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as simulation from './shareSimulation.js'
import * as support from './support.js'

const { EndKind } = protocol.workflow

/** Interval of the rankings at the leader. */
const RANK_MS = 250

const DRAIN_MS = 15_000

/** Tasks that run at full speed at a time. */
export const SUPPLY = 100

const ANY_WORKER = support.worker('w', {
  capacity: { cpuMillis: 1_000_000, memoryMb: 1_000_000, accelerators: 0 },
})

/** Runs all tasks of chosen jobs at full speed while the supply lasts; a started task is never suspended. */
export const simulate = (
  load: readonly simulation.Arrivals[],
  isOn: boolean,
): ReadonlyMap<string, simulation.Outcomes> => {
  const cell = support.createCell([ANY_WORKER])
  const { view } = cell.state
  const order = scheduling.createShareOrder({ expected: cell.expected, weights: new Map() })
  const arrivals = load
    .flatMap((of, position) => {
      const count = Math.round(((of.untilMs - of.fromMs) / 1_000) * of.jobsPerS)
      return Array.from({ length: count }, (_, index) => ({
        atMs: of.fromMs + ((index + 0.5) * 1_000) / of.jobsPerS,
        id: `${of.caller}-${position}-${index}`,
        of,
      }))
    })
    .sort((a, b) => a.atMs - b.atMs)
  let running: { readonly endMs: number; readonly task: protocol.workflow.TaskRun }[] = []
  let selected: ReadonlySet<string> = new Set()

  const submit = ({ atMs, id, of }: (typeof arrivals)[number]): void => {
    const steps = [support.step({ taskCount: of.tasks, estimatedMs: of.taskMs, filling: true })]
    cell.submit(id, steps, support.queue({ name: of.queue }), atMs, of.callerDomain)
  }

  const stepOf = (id: string): workflowState.StepView => {
    const step = view.jobs.get(id)?.occurrences.get(0)?.steps[0]
    if (step === undefined) throw new Error(`no job ${id}`)
    return step
  }

  const describe = (step: workflowState.StepView, nowMs: number): scheduling.BestEffortJob => {
    const taskMs = step.spec.estimatedMs
    const left = step.tasks.length - step.completedCount
    const objectiveMs = scheduling.objectiveMs([step], step.job.queue, cell.expected)
    const ageMs = nowMs - step.job.submittedMs
    return {
      key: step.job.spec.id,
      totalMs: taskMs * step.tasks.length,
      remainingMs: taskMs * left,
      chainMs: taskMs,
      untilDueMs: objectiveMs - ageMs,
      untilExpiryMs: scheduling.EXPIRY_FACTOR * objectiveMs - ageMs,
    }
  }

  const withShares = (
    jobs: readonly scheduling.BestEffortJob[],
    nowMs: number,
  ): readonly scheduling.BestEffortJob[] => {
    const { ranks } = scheduling.rankBestEffortJobs(jobs, SUPPLY, selected)
    const ordered = [...jobs].sort((a, b) => (ranks.get(a.key) ?? 0) - (ranks.get(b.key) ?? 0))
    const works = ordered.map((job) => {
      const step = stepOf(job.key)
      const cores = step.waitingCount * scheduling.coresOf(step)
      return {
        job: step.job,
        unstartedCores: cores,
        unstartedCoreMs: cores * step.spec.estimatedMs,
        isExpired: job.chainMs > job.untilExpiryMs,
      }
    })
    const supply = {
      freeCores: Math.max(0, SUPPLY * scheduling.PLANNED_SUPPLY_SHARE - running.length),
      runningCores: running.length,
    }
    const standings = order.standingsOfJobs('desk', works, supply, nowMs)
    return ordered.map((job, index) => ({ ...job, share: standings[index] }))
  }

  const rank = (nowMs: number): void => {
    const open = [...view.jobs.values()].filter(({ phase }) => phase === 'active')
    const jobs = open.map(({ spec }) => describe(stepOf(spec.id), nowMs))
    const ranked = scheduling.rankBestEffortJobs(
      isOn ? withShares(jobs, nowMs) : jobs,
      SUPPLY,
      selected,
    )
    selected = ranked.chosen
    const chosen = [...ranked.ranks.keys()].filter((key) => ranked.chosen.has(key))
    for (const step of chosen.map(stepOf)) {
      const waiting = step.tasks.filter(({ phase }) => phase === 'waiting')
      for (const { index } of waiting.slice(0, SUPPLY - running.length)) {
        const task = { job: step.job.spec.id, occurrence: 0, step: 0, index, run: 0 }
        const assignments = [{ task, worker: ANY_WORKER.identity }]
        const value = { workers: [ANY_WORKER], assignments }
        cell.state.apply({ nowMs, body: { $case: 'assign', value } })
        running.push({ endMs: nowMs + step.spec.estimatedMs, task: { ...task, run: 1 } })
        const view = step.tasks[index]
        if (view !== undefined) order.recordStart({ step, task: view }, nowMs)
      }
    }
  }

  let next = 0
  const lastMs = arrivals.at(-1)?.atMs ?? 0
  for (let nowMs = 0; nowMs <= lastMs + DRAIN_MS; nowMs += RANK_MS) {
    const ended = running.filter(({ endMs }) => endMs <= nowMs)
    running = running.filter(({ endMs }) => endMs > nowMs)
    const ends = ended.map(({ task }) => ({ run: task, kind: EndKind.COMPLETED, checkpoint: '' }))
    const value = { worker: ANY_WORKER.identity, ends }
    cell.state.apply({ nowMs, body: { $case: 'ends', value } })
    for (let arrival = arrivals[next]; arrival !== undefined && arrival.atMs <= nowMs;) {
      submit(arrival)
      next += 1
      arrival = arrivals[next]
    }
    rank(nowMs)
  }

  const callers = new Map<string, simulation.Outcomes>()
  for (const { id, of } of arrivals) {
    const none = { jobs: 0, inTime: 0, late: 0, expired: 0, refused: 0, retryAfterMs: [] }
    const outcomes = callers.get(of.caller) ?? none
    callers.set(of.caller, outcomes)
    const { job } = stepOf(id)
    const objectiveMs = scheduling.objectiveMs([stepOf(id)], job.queue, cell.expected)
    const tookMs = job.phase === 'completed' ? job.endedMs - job.submittedMs : Infinity
    outcomes.jobs += 1
    if (tookMs <= objectiveMs) outcomes.inTime += 1
    else if (tookMs <= scheduling.EXPIRY_FACTOR * objectiveMs) outcomes.late += 1
    else outcomes.expired += 1
  }
  return callers
}
