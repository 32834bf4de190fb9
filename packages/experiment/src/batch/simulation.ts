/** Runs the control state and the scheduler through one scenario with simulated workers. */
import * as controlState from '@ebonyweir/control-state'
import * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/scheduling'
import * as randoms from '../random.js'
import * as data from './data.js'
import * as machines from './machine.js'
import * as measures from './measures.js'
import type * as policies from './policies.js'
import * as workload from './workload.js'

const STEP_MS = 250
const SYNC_MS = 1_000

/** Time until entries stop routing to a failure domain that was taken out. */
const CONFIG_DELAY_MS = 1_000

/** Time after the return of a failure domain that counts towards `domainOutageWork`. */
const AFTER_RETURN_MS = 30_000

export interface RunOptions {
  readonly deployment: data.Deployment
  readonly scenario: data.Scenario
  readonly policy: policies.Policy
  readonly seed: number
}

export interface RunResult extends measures.Measures {
  readonly points: readonly measures.Point[]
}

type Body = NonNullable<protocol.command.Command['body']>

const createMachines = ({ deployment, scenario, seed }: RunOptions): machines.Machine[] =>
  Array.from({ length: deployment.workers }, (_, n) =>
    machines.createMachine({
      name: `w${n}`,
      capacity: deployment.capacity,
      service: deployment.service,
      // Spread over the failure domains, and not the first workers, which first fit uses first.
      isFaulty: n >= 3 && n < 3 + scenario.badWorkers,
      seed,
    }),
  )

export const runSimulation = (options: RunOptions): RunResult => {
  const { deployment, scenario, policy, seed } = options
  const state = controlState.createControlState({ parseRules: controlState.parseRulesText })
  const { view } = state
  const random = randoms.createRandom(seed, 'scheduler')
  const scheduler = scheduling.createScheduler({ random, parts: policy.parts })
  const fleet = createMachines(options)
  const meter = measures.createLatencyMeter(seed)
  const kinds = new Map<string, data.Kind>()
  const checkpointedMsByTask = new Map<string, number>()
  const urgentSubmittedMs = new Map<string, number>()
  const points: measures.Point[] = []
  const reports: scheduling.WorkerReport[] = []
  const arrivals =
    policy.group === 'no batch' ? [] : workload.createArrivals(deployment, scenario, seed)
  const cancelRandom = randoms.createRandom(seed, 'cancel')
  let decision: scheduling.Decision | undefined
  let nowMs = 0
  let next = 0
  let completedWork = 0
  let evictions = 0
  let failures = 0
  let urgentStartMs = 0
  const domainOutageWork = { fromMs: 0, before: 0, after: 0 }

  const run = (body: Body): controlState.Outcome =>
    state.apply({ nowMs: nowMs + 1, body }, view.appliedIndex() + 1)

  const setRules = (out: string | undefined): void => {
    const text = data.rulesTextOf(deployment, out)
    const value = { expectedRevision: view.revision(), operator: 'experiment', text }
    const outcome = run({ $case: 'applyRules', value })
    if (outcome.kind !== 'rulesAccepted') throw new Error(JSON.stringify(outcome))
  }

  const registerFleet = (): void => {
    const { failureDomains, capacity, workersPerRack } = deployment
    fleet.forEach(({ name }, n) => {
      const failureDomain = failureDomains[n % failureDomains.length] ?? ''
      const rack = `r${Math.floor(n / failureDomains.length / workersPerRack)}`
      const value = { worker: name, incarnation: 1, capacity, rack, failureDomain }
      run({ $case: 'registerWorker', value })
    })
  }

  const submit = (arriving: workload.ArrivingJob): void => {
    const { job, kind, tasks, urgent } = arriving
    kinds.set(job, kind)
    if (urgent) urgentSubmittedMs.set(`${job}/0`, nowMs)
    const resources = { cpuMillis: kind.cpuMillis, memoryMb: kind.memoryMb, accelerators: 0 }
    const value = {
      job,
      team: kind.team,
      kind: kind.kind,
      tasks,
      resources,
      urgent,
      declaredRunMs: kind.runMs,
      maxFailures: 1_000,
      command: '',
      submittedBy: '',
    }
    run({ $case: 'submitJob', value })
  }

  const cancelWave = (): void => {
    const active = [...view.jobs()].filter((job) => job.state === 'active' && !job.urgent)
    const jobs = active.map(({ job }) => job).filter(() => cancelRandom() < scenario.cancelShare)
    run({ $case: 'cancelJobs', value: { jobs, operator: 'experiment' } })
  }

  /** Completed work, progress of running tasks, and checkpointed work of unassigned tasks, in core seconds. */
  const accumulatedWork = (): number => {
    let work = completedWork
    for (const machine of fleet)
      for (const { kind, progressMs } of machine.running.values())
        work += (kind === undefined ? 0 : progressMs * kind.cpuMillis) / 1e6
    for (const [task, checkpointedMs] of checkpointedMsByTask) {
      const known = view.task(task)
      const kind = kinds.get(known?.owner ?? '')
      if (known?.worker === '' && kind !== undefined)
        work += (checkpointedMs * kind.cpuMillis) / 1e6
    }
    return work
  }

  const runAt = (atMs: number, action: () => void): void => {
    if (nowMs === atMs) action()
  }

  const runEvents = (): void => {
    for (let arriving = arrivals[next]; arriving !== undefined && arriving.atMs <= nowMs;) {
      submit(arriving)
      next += 1
      arriving = arrivals[next]
    }
    for (const atMs of scenario.cancelAtMs) runAt(atMs, cancelWave)
    if (scenario.domainOut === null) return
    const [outMs, backMs] = scenario.domainOut
    runAt(outMs, () => {
      domainOutageWork.before = accumulatedWork()
      setRules(deployment.failureDomains[1])
    })
    runAt(backMs, () => {
      setRules(undefined)
    })
    runAt(backMs + AFTER_RETURN_MS, () => (domainOutageWork.after = accumulatedWork()))
  }

  const commitEnds = (machine: machines.Machine): void => {
    const ends = machine.takeEnded().map(({ task, attempt, outcome, checkpointedMs }) => {
      const kind = kinds.get(view.task(task)?.owner ?? '')
      if (outcome === 'COMPLETED' && kind !== undefined)
        completedWork += (checkpointedMs * kind.cpuMillis) / 1e6
      if (outcome === 'EVICTED') evictions += 1
      if (outcome === 'FAILED') failures += 1
      checkpointedMsByTask.set(task, checkpointedMs)
      const stopping = [...view.stopping()].some((other) => other.task === task)
      const committedOutcome = outcome === 'CANCELLED' && !stopping ? 'EVICTED' : outcome
      const { TaskOutcome } = protocol.command
      return {
        task,
        attempt,
        outcome: TaskOutcome[committedOutcome],
        checkpoint: `${checkpointedMs}`,
        reason: '',
      }
    })
    if (ends.length > 0) run({ $case: 'endTasks', value: { ends } })
  }

  const startTask = (machine: machines.Machine, task: controlState.TaskView): void => {
    const kind = kinds.get(task.owner)
    const { cpuMillis, memoryMb } = task.resources
    const size =
      kind === undefined
        ? { cpuMillis, memoryMb: memoryMb * 0.7, runMs: Number.POSITIVE_INFINITY }
        : workload.trueSizeOf(scenario, kind, task.task, seed)
    const initialProgressMs = checkpointedMsByTask.get(task.task) ?? 0
    machine.start({
      task: task.task,
      attempt: task.attempt,
      kind,
      size,
      startedAtMs: nowMs,
      initialProgressMs,
      progressMs: initialProgressMs,
      cpuPercent: 100,
      checkpointAtMs: undefined,
    })
    const submittedMs = urgentSubmittedMs.get(task.task)
    if (submittedMs === undefined) return
    urgentStartMs = Math.max(urgentStartMs, nowMs - submittedMs)
    urgentSubmittedMs.delete(task.task)
  }

  /** Simulates one sync of a worker with the control role: ends, report, and the directives of the reply. */
  const syncWorker = (machine: machines.Machine): void => {
    commitEnds(machine)
    reports.push({ ...machine.report(nowMs), incarnation: 1 })
    const stops = new Set(decision?.stops.map(({ task }) => task))
    const evicted = new Set(decision?.evictions.map(({ task }) => task))
    const throttles = new Map(decision?.throttles.map((t) => [t.task, t.cpuPercent]))
    for (const task of view.worker(machine.name)?.tasks.values() ?? []) {
      const isRunning = machine.running.has(task.task)
      const isLeaving = stops.has(task.task) || evicted.has(task.task)
      if (!isRunning && !isLeaving) startTask(machine, task)
      else if (!isRunning)
        machine.refuse(task.task, task.attempt, checkpointedMsByTask.get(task.task) ?? 0)
      else if (stops.has(task.task)) machine.stop(task.task)
      else if (evicted.has(task.task)) machine.checkpoint(task.task, nowMs)
      else machine.throttle(task.task, throttles.get(task.task) ?? 100)
    }
  }

  const isDomainRouted = (machine: machines.Machine): boolean => {
    const domain = view.worker(machine.name)?.failureDomain ?? ''
    const outMs = scenario.domainOut?.[0] ?? 0
    return !view.isOut(domain) || nowMs < outMs + CONFIG_DELAY_MS
  }

  const stepFleet = (): void => {
    const routedMachines = new Set(fleet.filter((m) => m.hasRunner() && isDomainRouted(m)))
    const runners = [...routedMachines].flatMap((machine) =>
      [...machine.running.values()].filter(({ kind }) => kind === undefined).map(() => machine),
    )
    const wanted = deployment.service.runners
    const perRunner = (data.loadAt(scenario, nowMs) * wanted) / Math.max(1, runners.length)
    for (const machine of fleet)
      machine.step(nowMs, STEP_MS, routedMachines.has(machine) ? perRunner : 0)
    for (const machine of runners) meter.addRunner(machine.p99Ms())
    // Requests beyond the capacity of the runners wait until their timeout.
    if (perRunner > 1) meter.addRefused((perRunner - 1) * runners.length)
    if (runners.length === 0) meter.addRefused(wanted)
    if (nowMs % 2_000 !== 0) return
    const tails = runners.map((machine) => machine.p99Ms())
    const p99Ms = tails.length === 0 ? 2_000 : Math.max(...tails)
    const batchTasks = fleet.flatMap((m) => [...m.running.values()]).filter(({ kind }) => kind)
    const busyCores = batchTasks.reduce((sum, t) => sum + t.size.cpuMillis * t.cpuPercent, 0) / 1e5
    points.push({ atS: nowMs / 1000, p99Ms, busyCores })
  }

  setRules(undefined)
  registerFleet()
  // Runners start before the measured time; the first step reports an empty fleet.
  const warmUpMs = 5_000
  for (nowMs = -warmUpMs; nowMs < scenario.durationMs; nowMs += STEP_MS) {
    if (nowMs >= 0) {
      runEvents()
      stepFleet()
    } else for (const machine of fleet) machine.step(nowMs, STEP_MS, 0.3)
    fleet.forEach((machine, n) => {
      if ((nowMs + warmUpMs + n * STEP_MS) % SYNC_MS === 0) syncWorker(machine)
    })
    decision = scheduler.decide(view, { reports: reports.splice(0), assigning: false }, nowMs)
    if (decision.assignments.length > 0)
      run({ $case: 'assignTasks', value: { assignments: decision.assignments } })
  }
  for (const submittedMs of urgentSubmittedMs.values())
    urgentStartMs = Math.max(urgentStartMs, nowMs - submittedMs)
  return {
    p99Ms: meter.p99Ms(),
    throughput: completedWork / (scenario.durationMs / 1000),
    evictions,
    domainOutageWork: domainOutageWork.after - domainOutageWork.before,
    urgentStartS: urgentStartMs / 1000,
    failures,
    points,
  }
}
