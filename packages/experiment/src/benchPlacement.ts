/** `npm run bench:placement`: cost of scheduling decisions and commands by number of workers. */
import * as controlState from '@ebonyweir/control-state'
import * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/scheduling'
import * as randoms from './random.js'
import * as statistics from './report/statistics.js'

const WORKER_COUNTS = [10, 100, 1_000, 10_000, 28_000] as const

/** Running tasks per worker at the target size: 360,000 on 28,000 workers. */
const TASKS_PER_WORKER = 360_000 / 28_000

/** About the share of one cell in 200 ms at 5,600 starts a second. */
const TASKS_PER_DECISION = 100
const TASKS_PER_JOB = 10
const REPORTS_PER_DECISION = 100
const ROUNDS = 40
const WARM_UP_ROUNDS = 5
const FAILURE_DOMAIN_COUNT = 7

const RULES = `
service.desk = { runners = 4, slots = 8, connections = 64, timeoutMs = 2000, targetMs = 80, objective = 0.99, cpuMillis = 100, memoryMb = 100 } # benchmark
guard.desk = { maxSlowdown = 1.2, throttleFloorPercent = 25 } # benchmark
team.bench = { cpuMillis = 1000000000, memoryMb = 1000000000, weight = 1 } # benchmark
`

type Body = NonNullable<protocol.command.Command['body']>

const print = (line: string): void => void process.stdout.write(`${line}\n`)

const createBenchCell = (workers: number) => {
  const state = controlState.createControlState({ parseRules: controlState.parseRulesText })
  const random = randoms.createRandom(workers, 'bench')
  const scheduler = scheduling.createScheduler({ random })
  const { view } = state
  let nowMs = 1
  let jobs = 0
  const run = (body: Body): controlState.Outcome =>
    state.apply({ nowMs, body }, view.appliedIndex() + 1)

  const register = (n: number): void => {
    const value = {
      worker: `w${n}`,
      incarnation: 1,
      capacity: { cpuMillis: 64_000, memoryMb: 256_000, accelerators: 2 },
      rack: `r${Math.floor(n / FAILURE_DOMAIN_COUNT / 20)}`,
      failureDomain: `d${n % FAILURE_DOMAIN_COUNT}`,
    }
    run({ $case: 'registerWorker', value })
  }

  const submit = (tasks: number, cpuMillis: number): void => {
    const value = {
      job: `j${jobs++}`,
      team: 'bench',
      kind: `kind-${jobs % 8}`,
      tasks,
      resources: { cpuMillis, memoryMb: 1_000, accelerators: 0 },
      urgent: false,
      declaredRunMs: 1_000,
      maxFailures: 0,
      command: '',
      submittedBy: '',
    }
    run({ $case: 'submitJob', value })
  }

  const reportOf = (worker: controlState.WorkerView): scheduling.WorkerReport => ({
    worker: worker.worker,
    incarnation: worker.incarnation,
    receivedAtMs: nowMs,
    services: [],
    running: [...worker.tasks.values()].map(({ task, attempt, resources }) => ({
      task,
      attempt,
      usage: resources,
      usageAtMs: nowMs,
      cpuPercent: 100,
      progressUnits: nowMs,
    })),
  })

  const workerNames = Array.from({ length: workers }, (_, n) => `w${n}`)
  const reportsOf = (names: readonly string[]) =>
    names.flatMap((name) => {
      const worker = view.worker(name)
      return worker === undefined ? [] : [reportOf(worker)]
    })

  const applyRules: Body = {
    $case: 'applyRules',
    value: { expectedRevision: 0, operator: 'benchmark', text: RULES },
  }
  run(applyRules)
  workerNames.forEach((_, n) => {
    register(n)
  })

  /** Assigns tasks round robin up to the target density, then reports all workers to the scheduler. */
  const assignInitialTasks = (): void => {
    for (let n = 0; n < Math.round(workers * TASKS_PER_WORKER); n += 1) {
      if (n % TASKS_PER_JOB === 0) submit(TASKS_PER_JOB, 2_000)
      const worker = workerNames[n % workers] ?? ''
      const task = `j${Math.floor(n / TASKS_PER_JOB)}/${n % TASKS_PER_JOB}`
      const assignment = { task, attempt: 1, worker, workerIncarnation: 1 }
      run({ $case: 'assignTasks', value: { assignments: [assignment] } })
    }
    scheduler.decide(view, { reports: reportsOf(workerNames), assigning: true }, nowMs)
    const { assignments } = scheduler.decide(view, { reports: [], assigning: false }, nowMs)
    run({ $case: 'assignTasks', value: { assignments } })
  }

  const measureUs = (action: () => void): number => {
    const start = process.hrtime.bigint()
    action()
    return Number(process.hrtime.bigint() - start) / 1_000
  }

  /** Measures one decision with new tasks and reports, the assignment command, and the ends of the same tasks. */
  const measure = (): { decideUs: number; assignUs: number; endUs: number } => {
    nowMs += 200
    // Keeps all syncs fresh without the cost of 28,000 reports in the measured decision.
    scheduler.decide(
      view,
      { reports: nowMs % 3_000 < 200 ? reportsOf(workerNames) : [], assigning: true },
      nowMs,
    )
    for (let n = 0; n < TASKS_PER_DECISION / 4; n += 1) submit(4, 10)
    const names = Array.from(
      { length: REPORTS_PER_DECISION },
      () => workerNames[Math.floor(random() * workers)] ?? '',
    )
    const reports = reportsOf(names)
    let assignments: readonly protocol.command.Assignment[] = []
    const decideUs = measureUs(() => {
      assignments = scheduler.decide(view, { reports, assigning: false }, nowMs).assignments
    })
    if (assignments.length !== TASKS_PER_DECISION)
      throw new Error(
        `decision made ${assignments.length} assignments instead of one per submitted task`,
      )
    const assignUs = measureUs(() => run({ $case: 'assignTasks', value: { assignments } }))
    const outcome = protocol.command.TaskOutcome.COMPLETED
    const ends = assignments.map(({ task, attempt }) => ({
      task,
      attempt,
      outcome,
      checkpoint: '',
      reason: '',
    }))
    const endUs = measureUs(() => run({ $case: 'endTasks', value: { ends } }))
    return { decideUs, assignUs, endUs }
  }

  assignInitialTasks()
  return { workers, tasks: workers * TASKS_PER_WORKER, measure }
}

const median = (values: readonly number[]): number =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0

print(
  `${TASKS_PER_DECISION} tasks and ${REPORTS_PER_DECISION} worker reports per decision, ${ROUNDS} interleaved rounds`,
)
const cells = WORKER_COUNTS.map((size) => createBenchCell(size))
const samples = cells.map(() => [] as { decideUs: number; assignUs: number; endUs: number }[])
for (let round = 0; round < WARM_UP_ROUNDS + ROUNDS; round += 1)
  cells.forEach((cell, index) => {
    const sample = cell.measure()
    if (round >= WARM_UP_ROUNDS) samples[index]?.push(sample)
  })

const base = median(samples[0]?.map(({ decideUs }) => decideUs) ?? [])
cells.forEach(({ workers, tasks }, index) => {
  const rows = samples[index] ?? []
  const decide = rows.map(({ decideUs }) => decideUs)
  const { min, max } = statistics.spreadOf(decide)
  const perTask = (value: number): string => (value / TASKS_PER_DECISION).toFixed(1)
  const assign = perTask(median(rows.map(({ assignUs }) => assignUs)))
  const end = perTask(median(rows.map(({ endUs }) => endUs)))
  print(
    `${workers} workers, ${Math.round(tasks)} tasks: decide ${perTask(median(decide))} µs per task ` +
      `(${perTask(min)}–${perTask(max)}), ratio to 10 workers ${(median(decide) / base).toFixed(2)}; ` +
      `apply assign ${assign} µs, end ${end} µs per task`,
  )
})
