import * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import * as vitest from 'vitest'
import * as admissionCounters from '../src/admissionCounter.js'
import * as jobAdmission from '../src/jobAdmission.js'
import type * as schedulingOptions from '../src/schedulingOptions.js'
import * as workStatistics from '../src/workStatistics.js'

const { describe, expect, it } = vitest
const { EndKind } = protocol.workflow

const TICK_MS = 50
const START_MS = 10_000
const TASK_MS = 1_000
const CLAIM_MILLIS = 1_000

/** Objective of a job of one task, and the time after which its value has expired. */
const OBJECTIVE_MS = 2 * TASK_MS + 500
const EXPIRY_MS = scheduling.EXPIRY_FACTOR * OBJECTIVE_MS

const QUEUE = protocol.workflow.Queue.fromPartial({
  name: 'quotes',
  service: 'desk',
  maxAttempts: 3,
  slackFactor: 2,
  latencyTargetMs: 500,
})

const workersOf = (cpus: readonly number[]): readonly protocol.workflow.WorkerDescription[] =>
  cpus.map((count, index) => ({
    identity: { id: `w${index}`, bornMs: 1, agent: `w${index}` },
    service: 'desk',
    failureDomain: `d${index % 3}`,
    rack: 'r1',
    labels: [],
    capacity: { cpuMillis: count * 1_000, memoryMb: 100_000, accelerators: 0 },
  }))

interface Scenario {
  readonly policy: schedulingOptions.AdmissionPolicyName
  /** Processors of each worker; each runs one task of 1 s at a time. */
  readonly cpus: readonly number[]
  /** Arrival times from the start of the traffic. */
  readonly arrivalsMs: readonly number[]
  /** Time at which the failure domain "d0" is lost. */
  readonly lossMs?: number
}

interface Outcomes {
  readonly inTime: number
  readonly late: number
  readonly worthless: number
  /** Jobs that were never accepted. */
  readonly refused: number
  readonly refusals: number
  readonly retryAfterMs: readonly number[]
  readonly startedAfterRefusal: number
  readonly collections: number
}

/** Runs a scenario with real decisions and placement; each task takes exactly as long as estimated. */
const run = ({ policy: name, cpus, arrivalsMs, lossMs = Infinity }: Scenario): Outcomes => {
  const state = workflowState.createWorkflowState()
  const { view } = state
  const all = workersOf(cpus)
  let nowMs = 0
  let collections = 0
  const eligible = (): readonly scheduling.PlacementWorker[] =>
    all
      .filter(({ failureDomain }) => nowMs < START_MS + lossMs || failureDomain !== 'd0')
      .map((description) => ({ description, consecutiveFailures: 0 }))
  const expected = scheduling.createDurations()
  const work = workStatistics.createWorkStatistics(() => nowMs)
  const admission = jobAdmission.createJobAdmission({
    policy: jobAdmission.createAdmissionPolicy(name),
    usesLoad: name !== 'accept-all',
    view,
    expected,
    nowMs: () => nowMs,
    timeOfDayMs: () => nowMs,
    percentOf: () => 0,
    eligibleWorkers: eligible,
    sessionCount: () => all.length,
    bestEffortLoadOf: () => undefined,
    work: {
      measure: (part, measured) => {
        collections += 1
        return work.measure(part, measured)
      },
    },
    counter: admissionCounters.createAdmissionCounter(),
  })
  const arrivals = [...arrivalsMs]
    .sort((a, b) => a - b)
    .map((atMs, index) => ({ id: `j${index}`, firstMs: START_MS + atMs, atMs: START_MS + atMs }))
  const endMs = Math.max(...arrivals.map(({ firstMs }) => firstMs)) + 2 * EXPIRY_MS
  const open = new Set(arrivals)
  const tookMs = new Map<string, number>()
  const refusedIds = new Set<string>()
  const retryAfterMs: number[] = []
  const runEnds: { readonly atMs: number; readonly run: workflowState.ActiveRun }[] = []
  let startedAfterRefusal = 0

  const submit = (arrival: (typeof arrivals)[number]): void => {
    const { id, firstMs } = arrival
    const step = protocol.workflow.Step.fromPartial({
      taskCount: 1,
      estimatedMs: TASK_MS,
      claim: { cpuMillis: CLAIM_MILLIS, memoryMb: 10, accelerators: 0 },
    })
    const spec = { ...protocol.workflow.JobSpec.fromPartial({ id }), steps: [step] }
    open.delete(arrival)
    const decision = admission.admit({ spec, queue: QUEUE, callerDomain: '' })
    if (decision.kind === 'accepted') {
      refusedIds.delete(id)
      state.apply({
        nowMs,
        body: { $case: 'submit', value: { spec, queue: QUEUE, callerDomain: '' } },
      })
      return
    }
    refusedIds.add(id)
    retryAfterMs.push(decision.retryAfterMs)
    const atMs = nowMs + Math.ceil(decision.retryAfterMs / 1_000) * 1_000
    if (atMs < firstMs + EXPIRY_MS) open.add({ id, firstMs, atMs })
  }

  const place = (): void => {
    const plan = scheduling.planAssignments({
      view,
      workers: eligible(),
      expected,
      nowMs,
      maxAssignments: 1_000,
      avoids: () => false,
      waitedMs: () => 0,
      disturbance: scheduling.createInterferenceModel(),
      fillerRank: () => 0,
    })
    state.apply({ nowMs, body: { $case: 'assign', value: plan } })
    for (const { task } of plan.assignments) {
      const stepView = view.jobs.get(task?.job ?? '')?.occurrences.get(0)?.steps[0]
      const taskView = stepView?.tasks[0]
      if (stepView === undefined || taskView === undefined) continue
      if (refusedIds.has(stepView.job.spec.id)) startedAfterRefusal += 1
      runEnds.push({ atMs: nowMs + TASK_MS, run: { step: stepView, task: taskView } })
    }
  }

  const complete = (): void => {
    while ((runEnds[0]?.atMs ?? Infinity) <= nowMs) {
      const active = runEnds.shift()?.run
      if (active === undefined) return
      const { step, task } = active
      const { worker } = task
      const domain = all.find(({ identity }) => identity?.id === worker?.id)?.failureDomain
      const isLost = domain === 'd0' && nowMs >= START_MS + lossMs
      const { id } = step.job.spec
      const taskRun = { job: id, occurrence: 0, step: 0, index: 0, run: task.run }
      const kind = isLost ? EndKind.LOST : EndKind.COMPLETED
      const ends = [{ run: taskRun, kind, checkpoint: '' }]
      if (worker !== undefined)
        state.apply({ nowMs, body: { $case: 'ends', value: { worker, ends } } })
      const firstMs = arrivals.find((one) => one.id === id)?.firstMs ?? 0
      if (!isLost) tookMs.set(id, nowMs - firstMs)
    }
  }

  for (; nowMs < endMs; nowMs += TICK_MS) {
    complete()
    for (const arrival of open) if (arrival.atMs <= nowMs) submit(arrival)
    place()
  }
  const took = arrivals.map(({ id }) => tookMs.get(id) ?? Infinity)
  const inTime = took.filter((ms) => ms <= OBJECTIVE_MS).length
  const withValue = took.filter((ms) => ms <= EXPIRY_MS).length
  return {
    inTime,
    late: withValue - inTime,
    worthless: arrivals.length - withValue - refusedIds.size,
    refused: refusedIds.size,
    refusals: retryAfterMs.length,
    retryAfterMs,
    startedAfterRefusal,
    collections,
  }
}

/** `perSecond` arrivals at equal distances. */
const steady = (perSecond: number, seconds: number): readonly number[] =>
  Array.from({ length: perSecond * seconds }, (_, index) => (index * 1_000) / perSecond)

const EVEN = [10, 10, 10]
const UNEVEN = [20, 8, 1, 1]
const BURST = [...steady(10, 10), ...Array.from({ length: 600 }, (_, index) => 3_000 + index)]

const POLICIES = ['expected-completion', 'queue-delay', 'gradient'] as const

/** Share of the value that accepting all earns which the policy may lose: the margin of the goodput target. */
const MIN_VALUE_SHARE = 0.9

/** Part of its value that a late job earns. */
const LATE_VALUE_SHARE = 0.15

const valueOf = ({ inTime, late }: Outcomes): number => inTime + LATE_VALUE_SHARE * late

describe('what callers get under expected completion, compared with accepting all', () => {
  it.each([
    {
      name: 'steady load below the capacity',
      cpus: EVEN,
      arrivalsMs: steady(20, 10),
      refuses: false,
    },
    { name: 'the capacity', cpus: EVEN, arrivalsMs: steady(30, 10), refuses: false },
    {
      name: 'uneven workers at their capacity',
      cpus: UNEVEN,
      arrivalsMs: steady(30, 10),
      refuses: false,
    },
    {
      name: 'three times the capacity',
      cpus: EVEN,
      arrivalsMs: steady(90, 15),
      refuses: false,
    },
    { name: 'a burst of 20 s of work', cpus: EVEN, arrivalsMs: BURST, refuses: true },
    {
      name: 'the loss of a failure domain below two thirds of the capacity',
      cpus: EVEN,
      arrivalsMs: steady(15, 15),
      lossMs: 5_000,
      refuses: false,
    },
  ])('guards against a loss of value with $name', ({ refuses, ...scenario }) => {
    const accepting = run({ ...scenario, policy: 'accept-all' })
    const refusing = run({ ...scenario, policy: 'expected-completion' })
    expect(accepting.refusals).toBe(0)
    expect(refusing.refusals > 0).toBe(refuses)
    expect(valueOf(refusing)).toBeGreaterThanOrEqual(MIN_VALUE_SHARE * valueOf(accepting))
    // A refusal replaces a job that would have been worthless.
    expect(refusing.worthless).toBeLessThanOrEqual(accepting.worthless)
    if (refuses) expect(refusing.worthless).toBeLessThan(accepting.worthless)
  })

  it.each(POLICIES)(
    'guards against a refused job that runs and a return that is out of bounds: %s',
    (policy) => {
      const { startedAfterRefusal, retryAfterMs } = run({ policy, cpus: EVEN, arrivalsMs: BURST })
      expect(startedAfterRefusal).toBe(0)
      expect(retryAfterMs.length).toBeGreaterThan(0)
      for (const delayMs of retryAfterMs) {
        expect(delayMs).toBeGreaterThanOrEqual(scheduling.MIN_RETRY_AFTER_MS)
        expect(delayMs).toBeLessThanOrEqual(scheduling.MAX_RETRY_AFTER_MS)
      }
    },
  )

  it('guards against a collection of the load for each submission', () => {
    const { collections } = run({
      policy: 'expected-completion',
      cpus: EVEN,
      arrivalsMs: steady(90, 10),
    })
    // Arrivals last 10 s, and the callers that return add at most the time until their value expires.
    expect(collections).toBeGreaterThan(0)
    expect(collections).toBeLessThanOrEqual((10_000 + EXPIRY_MS) / 200 + 1)
    expect(run({ policy: 'accept-all', cpus: EVEN, arrivalsMs: steady(90, 5) }).collections).toBe(0)
  })
})
