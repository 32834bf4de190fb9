import * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'

const { EndKind } = protocol.workflow

export const step = (fields: Partial<protocol.workflow.Step> = {}): protocol.workflow.Step => ({
  taskCount: 1,
  claim: { cpuMillis: 1_000, memoryMb: 100, accelerators: 0 },
  estimatedMs: 1_000,
  after: [],
  checkpointing: false,
  gang: false,
  sameRack: false,
  requiredLabel: '',
  dataRack: '',
  maxPerWorker: 0,
  speculative: false,
  lasting: false,
  image: '',
  tailTargetMs: 0,
  filling: false,
  maxAway: 0,
  ...fields,
})

export const job = (
  id: string,
  steps: readonly protocol.workflow.Step[],
  fields: Partial<protocol.workflow.JobSpec> = {},
): protocol.workflow.JobSpec => ({
  id,
  command: 'text',
  steps,
  repetitions: 0,
  firstDueMs: 0,
  intervalMs: 0,
  ...fields,
})

export const queue = (fields: Partial<protocol.workflow.Queue> = {}): protocol.workflow.Queue => ({
  name: 'quotes',
  host: 'shop.example',
  pathPrefix: '/quotes/',
  timeoutMs: 3_000,
  latencyTargetMs: 250,
  priority: 0,
  service: 'desk',
  maxAttempts: 2,
  slackFactor: 2,
  ...fields,
})

export const worker = (
  id: string,
  fields: Partial<protocol.workflow.WorkerDescription> = {},
): protocol.workflow.WorkerDescription & {
  readonly identity: protocol.workflow.WorkerIdentity
} => ({
  service: 'desk',
  failureDomain: 'rennes',
  rack: 'r1',
  labels: ['a', 'r1'],
  capacity: { cpuMillis: 4_000, memoryMb: 1_000, accelerators: 0 },
  ...fields,
  identity: { id, bornMs: 1, agent: 'a' },
})

type Body = NonNullable<protocol.workflow.WorkflowCommand['body']>

/** State machine with shorthands for the commands that the tests apply. */
export const createSubject = () => {
  const state = workflowState.createWorkflowState()
  const apply = (body: Body, nowMs = 0): workflowState.Outcome => state.apply({ nowMs, body })
  return {
    state,
    view: state.view,
    apply,
    submit: (spec: protocol.workflow.JobSpec, inQueue = queue(), callerDomain = '') =>
      apply({ $case: 'submit', value: { spec, queue: inQueue, callerDomain } }),
    /** Assigns tasks, given as "job.occurrence.step.index", to a worker; returns the accepted runs. */
    assign: (
      to: protocol.workflow.WorkerDescription,
      ...tasks: readonly string[]
    ): readonly string[] => {
      const assignments = tasks.map((name) => ({ task: parseTask(name), worker: to.identity }))
      const outcome = apply({ $case: 'assign', value: { workers: [to], assignments } })
      if (outcome.kind !== 'assigned') throw new Error('not an assignment')
      return outcome.accepted.map(({ task }) => (task ? workflowState.runKey(task) : ''))
    },
    end: (
      of: protocol.workflow.WorkerDescription,
      name: string,
      kind: protocol.workflow.EndKind = EndKind.COMPLETED,
      checkpoint = '',
    ) => {
      const [task = '', run = '1'] = name.split('#')
      const ended = { ...parseTask(task), run: Number(run) }
      return apply({
        $case: 'ends',
        value: { worker: of.identity, ends: [{ run: ended, kind, checkpoint }] },
      })
    },
    phase: (id: string): string => state.view.jobs.get(id)?.phase ?? 'unknown',
    task: (name: string): workflowState.TaskView | undefined => {
      const { job: id, occurrence, step: at, index } = parseTask(name)
      return state.view.jobs.get(id)?.occurrences.get(occurrence)?.steps[at]?.tasks[index]
    },
  }
}

export const parseTask = (name: string): protocol.workflow.TaskRun => {
  const [id = '', occurrence = '0', at = '0', index = '0'] = name.split('.')
  return {
    job: id,
    occurrence: Number(occurrence),
    step: Number(at),
    index: Number(index),
    run: 0,
  }
}
