/** Leader's term on a state machine that commits immediately, with simulated workers and queued best-effort jobs. */
import * as protocol from '@ebonyweir/protocol'
import type * as replica from '@ebonyweir/replica'
import * as telemetry from '@ebonyweir/telemetry/logger'
import * as workflowControl from '@ebonyweir/workflow-control'
import * as workflowState from '@ebonyweir/workflow-state'
import * as results from 'ts-results-es'
import * as fakeAgents from './fakeAgent.js'

const TERM = 1
const LEASE_MS = 6_000
const STATUS_RETENTION_MS = 120_000

/** Initial runs per worker; about 1 latency-critical to 2 best-effort tasks, as in large deployments. */
const LATENCY_CRITICAL_PER_WORKER = 7
const BEST_EFFORT_PER_WORKER = 14

const TASKS_PER_BEST_EFFORT_JOB = 8

/** One in this many best-effort jobs (5 %) is cancelled while its runs continue. */
const CANCELLED_JOB_INTERVAL = 20

/** Queued best-effort jobs per worker at the start. */
const WAITING_JOBS_PER_WORKER = 3

/** Number of workers for which one best-effort and one latency-critical job are submitted per second. */
const WORKERS_PER_NEW_JOB = 24

const LATENCY_CRITICAL_IMAGE_COUNT = 10
const BEST_EFFORT_IMAGE_COUNT = 20
const RACK_COUNT = 6
const LATENCY_CRITICAL_ESTIMATE_MS = 3_000
const BEST_EFFORT_ESTIMATE_MS = 20_000
const TAIL_TARGET_MS = 40

const CAPACITY = { cpuMillis: 16_000, memoryMb: 22_000, accelerators: 0 }
const LATENCY_CRITICAL_CLAIM = { cpuMillis: 1_600, memoryMb: 1_000, accelerators: 0 }
const BEST_EFFORT_CLAIM = { cpuMillis: 400, memoryMb: 500, accelerators: 0 }

const QUEUE = protocol.workflow.Queue.fromPartial({
  name: 'plans',
  service: 'desk',
  maxAttempts: 3,
  slackFactor: 4,
  latencyTargetMs: 20_000,
})

export interface LeaderSimulation {
  /** Sends the reports and submissions of one millisecond. */
  readonly advance: (nowMs: number) => void
  readonly work: workflowControl.WorkStatistics
  readonly runCount: () => number
  readonly readyCount: () => number
  readonly stop: () => void
}

const SAMPLE_INTERVAL_MS = 400
const SECOND_MS = 1_000

/** Creates the simulation at the current time of the mocked clock. */
export const createLeaderSimulation = (workers: number): LeaderSimulation => {
  const state = workflowState.createWorkflowState()
  const work = workflowControl.createWorkStatistics(() => performance.now())
  const apply = (body: workflowControl.CommandBody): workflowState.Outcome =>
    state.apply({ nowMs: Date.now(), body })
  const ctx: workflowControl.ControlContext = {
    options: {
      cell: 'bench',
      name: 'control',
      failureDomain: 'd0',
      grpcAddress: '127.0.0.1:1',
      dataFolder: '',
      seeds: () => [],
      mayForm: false,
      toleratedLosses: 1,
      timing: workflowControl.resolveTiming({ maxLeaseMs: LEASE_MS }).unwrap(),
      statusRetentionMs: STATUS_RETENTION_MS,
      logger: telemetry.createSilentLogger(),
    },
    replica: {} as replica.Replica<workflowState.Outcome>,
    view: state.view,
    nowMs: () => Date.now(),
    leadingTerm: () => TERM,
    propose: (body) => {
      work.count('proposals')
      return Promise.resolve(results.Ok(state.apply({ nowMs: Date.now(), body })))
    },
    work,
    hint: () => ({ leader: '', members: [] }),
  }
  const term = workflowControl.createLeaderTerm(ctx, TERM)
  const descriptions = Array.from({ length: workers }, (_, index) => ({
    identity: { id: `worker-${index}`, bornMs: 1, agent: `agent-${index}` },
    service: QUEUE.service,
    failureDomain: `d${index % 3}`,
    rack: `r${index % RACK_COUNT}`,
    labels: ['a'],
    capacity: CAPACITY,
  }))
  const agents = descriptions.map((worker, index) =>
    fakeAgents.createFakeAgent({
      term,
      worker,
      name: `agent-${index}`,
      stepOf: ({ job, occurrence, step }) =>
        state.view.jobs.get(job)?.occurrences.get(occurrence)?.steps[step]?.spec,
    }),
  )
  let jobs = 0

  const submit = (fields: Partial<protocol.workflow.Step>): string => {
    jobs += 1
    const id = `job-${jobs}-0123456789abcdef`
    const step = protocol.workflow.Step.create({ estimatedMs: BEST_EFFORT_ESTIMATE_MS, ...fields })
    const spec = { ...protocol.workflow.JobSpec.fromPartial({ id }), steps: [step] }
    apply({ $case: 'submit', value: { spec, queue: QUEUE, callerDomain: '' } })
    return id
  }

  const submitLatencyCritical = (taskCount: number, lasting: boolean): string =>
    submit({
      taskCount,
      lasting,
      claim: LATENCY_CRITICAL_CLAIM,
      estimatedMs: LATENCY_CRITICAL_ESTIMATE_MS,
      image: `serving-${jobs % LATENCY_CRITICAL_IMAGE_COUNT}`,
      tailTargetMs: TAIL_TARGET_MS,
    })

  const submitBestEffort = (): string =>
    submit({
      taskCount: TASKS_PER_BEST_EFFORT_JOB,
      filling: true,
      checkpointing: true,
      claim: BEST_EFFORT_CLAIM,
      image: `filling-${jobs % BEST_EFFORT_IMAGE_COUNT}`,
    })

  /** Assigns all tasks of a job in turn from worker `first` on, without the planner. */
  const assignAll = (job: string, taskCount: number, first: number): void => {
    const assignments = Array.from({ length: taskCount }, (_, index) => ({
      task: { job, occurrence: 0, step: 0, index, run: 0 },
      worker: descriptions[(first + index) % workers]?.identity,
    }))
    const outcome = apply({ $case: 'assign', value: { workers: descriptions, assignments } })
    if (outcome.kind !== 'assigned') return
    for (const { task, worker } of outcome.accepted) {
      const spec = state.view.jobs.get(job)?.occurrences.get(0)?.steps[0]?.spec
      const position = descriptions.findIndex(({ identity }) => identity.id === worker?.id)
      if (task !== undefined && spec !== undefined) agents[position]?.startAssigned(task, spec)
    }
  }

  for (let round = 0; round < LATENCY_CRITICAL_PER_WORKER; round += 1) {
    assignAll(submitLatencyCritical(workers, true), workers, round)
  }
  const bestEffortJobs = Math.floor((workers * BEST_EFFORT_PER_WORKER) / TASKS_PER_BEST_EFFORT_JOB)
  for (let job = 0; job < bestEffortJobs; job += 1) {
    const id = submitBestEffort()
    assignAll(id, TASKS_PER_BEST_EFFORT_JOB, job * TASKS_PER_BEST_EFFORT_JOB)
    if (job % CANCELLED_JOB_INTERVAL === 0) apply({ $case: 'cancel', value: { job: id } })
  }
  for (let job = 0; job < workers * WAITING_JOBS_PER_WORKER; job += 1) submitBestEffort()

  const newJobIntervalMs = (SECOND_MS * WORKERS_PER_NEW_JOB) / workers
  let nextJobMs = Date.now()
  return {
    advance: (nowMs) => {
      for (const [index, agent] of agents.entries()) {
        const phase = (nowMs + index * 7) % SAMPLE_INTERVAL_MS
        if (phase === 0) agent.reportSample(nowMs)
        if (phase === SAMPLE_INTERVAL_MS / 2) agent.repeatSample(nowMs)
      }
      while (nextJobMs <= nowMs) {
        nextJobMs += newJobIntervalMs
        submitBestEffort()
        submitLatencyCritical(2, false)
        term.dispatch()
      }
    },
    work,
    runCount: () => [...state.view.loads.values()].reduce((sum, { runs }) => sum + runs.size, 0),
    readyCount: () => state.view.readySteps.size,
    stop: term.stop,
  }
}
