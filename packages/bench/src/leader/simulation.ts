/** A leader's term over a state machine that commits at once, with simulated workers and a backlog of fillers. */
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

/** Runs of each worker at the start; serving tasks to fillers are about 1 to 2, as on the grown sites. */
const SERVING_PER_WORKER = 7
const FILLERS_PER_WORKER = 14

/** Tasks of a filling job. */
const TASKS_PER_JOB = 8

/** One of so many filling jobs is cancelled while its runs go on: 5 %. */
const CANCELLED_EVERY = 20

/** Filling jobs that wait at the start for each worker. */
const WAITING_JOBS_PER_WORKER = 3

/** Workers for each filling job and each serving job that is submitted in a second. */
const WORKERS_PER_NEW_JOB = 24

const SERVING_IMAGES = 10
const FILLING_IMAGES = 20
const RACKS = 6
const SERVING_MS = 3_000
const FILLING_MS = 20_000
const TAIL_TARGET_MS = 40

const CAPACITY = { cpuMillis: 16_000, memoryMb: 22_000, accelerators: 0 }
const SERVING_CLAIM = { cpuMillis: 1_600, memoryMb: 1_000, accelerators: 0 }
const FILLING_CLAIM = { cpuMillis: 400, memoryMb: 500, accelerators: 0 }

const QUEUE = protocol.workflow.Queue.fromPartial({
  name: 'plans',
  service: 'desk',
  maxAttempts: 3,
  slackFactor: 4,
  latencyTargetMs: 20_000,
})

export interface World {
  /** Reports and submissions of one millisecond. */
  readonly advance: (nowMs: number) => void
  readonly work: workflowControl.WorkMeter
  readonly runCount: () => number
  readonly readyCount: () => number
  readonly stop: () => void
}

const LIST_INTERVAL_MS = 400
const SECOND_MS = 1_000

/** Creates the world at the current time of the mocked clock. */
export const createWorld = (workers: number): World => {
  const state = workflowState.createWorkflowState()
  const work = workflowControl.createWorkMeter(() => performance.now())
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
    rack: `r${index % RACKS}`,
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
    const step = protocol.workflow.Step.create({ estimatedMs: FILLING_MS, ...fields })
    const spec = { ...protocol.workflow.JobSpec.fromPartial({ id }), steps: [step] }
    apply({ $case: 'submit', value: { spec, queue: QUEUE } })
    return id
  }

  const submitServing = (taskCount: number, lasting: boolean): string =>
    submit({
      taskCount,
      lasting,
      claim: SERVING_CLAIM,
      estimatedMs: SERVING_MS,
      image: `serving-${jobs % SERVING_IMAGES}`,
      tailTargetMs: TAIL_TARGET_MS,
    })

  const submitFilling = (): string =>
    submit({
      taskCount: TASKS_PER_JOB,
      filling: true,
      checkpointing: true,
      claim: FILLING_CLAIM,
      image: `filling-${jobs % FILLING_IMAGES}`,
    })

  /** Assigns all tasks of a job without the planner, from worker `first` on. */
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
      if (task !== undefined && spec !== undefined) agents[position]?.adopt(task, spec)
    }
  }

  for (let round = 0; round < SERVING_PER_WORKER; round += 1) {
    assignAll(submitServing(workers, true), workers, round)
  }
  const fillingJobs = Math.floor((workers * FILLERS_PER_WORKER) / TASKS_PER_JOB)
  for (let job = 0; job < fillingJobs; job += 1) {
    const id = submitFilling()
    assignAll(id, TASKS_PER_JOB, job * TASKS_PER_JOB)
    if (job % CANCELLED_EVERY === 0) apply({ $case: 'cancel', value: { job: id } })
  }
  for (let job = 0; job < workers * WAITING_JOBS_PER_WORKER; job += 1) submitFilling()

  const newJobIntervalMs = (SECOND_MS * WORKERS_PER_NEW_JOB) / workers
  let nextJobMs = Date.now()
  return {
    advance: (nowMs) => {
      for (const [index, agent] of agents.entries()) {
        const phase = (nowMs + index * 7) % LIST_INTERVAL_MS
        if (phase === 0) agent.list(nowMs)
        if (phase === LIST_INTERVAL_MS / 2) agent.repeat(nowMs)
      }
      while (nextJobMs <= nowMs) {
        nextJobMs += newJobIntervalMs
        submitFilling()
        submitServing(2, false)
        term.dispatch()
      }
    },
    work,
    runCount: () => [...state.view.loads.values()].reduce((sum, { runs }) => sum + runs.size, 0),
    readyCount: () => state.view.readySteps.size,
    stop: term.stop,
  }
}
