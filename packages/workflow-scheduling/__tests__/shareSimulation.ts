/** Simulation of one worker pool over the state machine, the planner and the fair shares, without a network. */
import * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import * as support from './support.js'

const { EndKind } = protocol.workflow

const TICK_MS = 50

/** Time after the last arrival in which jobs can still end. */
const DRAIN_MS = 12_000

const WORKERS = 8
const WORKER_CORES = 8

/** Core milliseconds that the pool delivers in one second. */
export const CAPACITY_CORE_MS = WORKERS * WORKER_CORES * 1_000

/** Jobs of one caller that arrive at regular intervals. */
export interface Arrivals {
  /** Name under which the outcomes are counted. */
  readonly caller: string
  readonly queue: string
  readonly callerDomain: string
  readonly fromMs: number
  readonly untilMs: number
  readonly jobsPerS: number
  readonly tasks: number
  readonly taskMs: number
}

/** What one caller got. */
export interface Outcomes {
  jobs: number
  inTime: number
  /** Ended after the objective and before the expiry. */
  late: number
  /** Ended after the expiry, or not at all. */
  expired: number
  refused: number
  readonly retryAfterMs: number[]
}

export interface SimulationOptions {
  readonly shares: boolean
  /** Whether fair shares also decide on admission. @default false */
  readonly admission?: boolean
  readonly weights?: ReadonlyMap<string, number>
}

export interface SimulationResult {
  readonly callers: ReadonlyMap<string, Outcomes>
  /** Steps that were placed after others because of their share. */
  readonly aboveCount: number
  /** Plans after which capacity was free although a task waited. */
  readonly idleTicks: number
}

interface Arrival {
  readonly atMs: number
  readonly id: string
  readonly of: Arrivals
}

const arrivalsOf = (of: Arrivals, position: number): readonly Arrival[] => {
  const count = Math.round(((of.untilMs - of.fromMs) / 1_000) * of.jobsPerS)
  return Array.from({ length: count }, (_, index) => ({
    atMs: of.fromMs + ((index + 0.5) * 1_000) / of.jobsPerS,
    id: `${of.caller}-${position}-${index}`,
    of,
  }))
}

export const part = ({ inTime, jobs }: Outcomes): number => inTime / Math.max(1, jobs)

export const simulate = (
  load: readonly Arrivals[],
  { shares: isOn, admission = false, weights = new Map() }: SimulationOptions,
): SimulationResult => {
  const workers = Array.from({ length: WORKERS }, (_, index) =>
    support.worker(`w${index}`, {
      capacity: { cpuMillis: WORKER_CORES * 1_000, memoryMb: 1_000_000, accelerators: 0 },
    }),
  )
  const cell = support.createCell(workers)
  const { view } = cell.state
  const order = scheduling.createShareOrder({ expected: cell.expected, weights })
  const policy = scheduling.createFairShareAdmission({
    policy: scheduling.createAcceptAll(),
    shares: () => (admission ? { order, sinceMs: Number.NEGATIVE_INFINITY } : undefined),
  })
  const callers = new Map<string, Outcomes>()
  const outcomesOf = (caller: string): Outcomes => {
    const known = callers.get(caller)
    if (known !== undefined) return known
    const none = { jobs: 0, inTime: 0, late: 0, expired: 0, refused: 0, retryAfterMs: [] }
    callers.set(caller, none)
    return none
  }
  const ending: { readonly atMs: number; readonly run: protocol.workflow.Assignment }[] = []
  const above = new Set<workflowState.StepView>()
  let idleTicks = 0

  const submit = ({ atMs, id, of }: Arrival): void => {
    const outcomes = outcomesOf(of.caller)
    outcomes.jobs += 1
    const steps = [support.step({ taskCount: of.tasks, estimatedMs: of.taskMs })]
    const queue = support.queue({ name: of.queue })
    const spec = { ...protocol.workflow.JobSpec.fromPartial({ id }), steps }
    const { callerDomain } = of
    const decided = policy.decide({ spec, queue, callerDomain }, { view }, atMs)
    if (decided.kind === 'accepted') {
      cell.submit(id, steps, queue, atMs, callerDomain)
      return
    }
    outcomes.refused += 1
    outcomes.retryAfterMs.push(decided.retryAfterMs)
  }

  const end = (nowMs: number): void => {
    for (const { run } of ending.filter(({ atMs }) => atMs <= nowMs)) {
      const ends = [{ run: run.task, kind: EndKind.COMPLETED, checkpoint: '' }]
      cell.state.apply({ nowMs, body: { $case: 'ends', value: { worker: run.worker, ends } } })
    }
    const open = ending.filter(({ atMs }) => atMs > nowMs)
    ending.splice(0, ending.length, ...open)
  }

  const standingsAt =
    (nowMs: number): NonNullable<scheduling.PlacementInput['shares']> =>
    (steps, freeCores) => {
      const standings = order.standingsOfSteps(steps, view, freeCores, nowMs)
      for (const [step, { shareClass }] of standings) if (shareClass === 'above') above.add(step)
      return standings
    }

  const place = (nowMs: number): void => {
    const planned = scheduling.planAssignments({
      ...cell.input(nowMs),
      maxAssignments: 1_000,
      shares: isOn ? standingsAt(nowMs) : undefined,
    })
    const outcome = cell.state.apply({ nowMs, body: { $case: 'assign', value: planned } })
    if (outcome.kind !== 'assigned') throw new Error('not an assignment')
    for (const run of outcome.accepted) {
      const step = view.jobs.get(run.task?.job ?? '')?.occurrences.get(0)?.steps[0]
      const task = step?.tasks[run.task?.index ?? 0]
      if (step === undefined || task === undefined) throw new Error('no task')
      order.recordStart({ step, task }, nowMs)
      ending.push({ atMs: nowMs + step.spec.estimatedMs, run })
    }
    const usedCores = ending.length
    if (view.readySteps.size > 0 && usedCores < WORKERS * WORKER_CORES) idleTicks += 1
  }

  const arrivals = load
    .flatMap((of, position) => arrivalsOf(of, position))
    .sort((a, b) => a.atMs - b.atMs)
  const callerOf = new Map(arrivals.map(({ id, of }) => [id, of.caller]))
  const lastMs = arrivals.at(-1)?.atMs ?? 0
  let next = 0
  for (let nowMs = 0; nowMs <= lastMs + DRAIN_MS; nowMs += TICK_MS) {
    end(nowMs)
    for (let arrival = arrivals[next]; arrival !== undefined && arrival.atMs <= nowMs;) {
      submit(arrival)
      next += 1
      arrival = arrivals[next]
    }
    place(nowMs)
  }
  for (const [id, job] of view.jobs) {
    const outcomes = outcomesOf(callerOf.get(id) ?? '')
    const steps = job.occurrences.get(0)?.steps ?? []
    const objectiveMs = scheduling.objectiveMs(steps, job.queue, cell.expected)
    const tookMs = job.phase === 'completed' ? job.endedMs - job.submittedMs : Infinity
    if (tookMs <= objectiveMs) outcomes.inTime += 1
    else if (tookMs <= scheduling.EXPIRY_FACTOR * objectiveMs) outcomes.late += 1
    else outcomes.expired += 1
  }
  return { callers, aboveCount: above.size, idleTicks }
}
