import * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'

export const step = (fields: Partial<protocol.workflow.Step> = {}): protocol.workflow.Step =>
  protocol.workflow.Step.fromPartial({
    taskCount: 1,
    claim: { cpuMillis: 1_000, memoryMb: 10, accelerators: 0 },
    estimatedMs: 1_000,
    ...fields,
  })

export const queue = (fields: Partial<protocol.workflow.Queue> = {}): protocol.workflow.Queue =>
  protocol.workflow.Queue.fromPartial({
    name: 'quotes',
    service: 'desk',
    maxAttempts: 3,
    slackFactor: 2,
    latencyTargetMs: 500,
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
  capacity: { cpuMillis: 16_000, memoryMb: 1_000, accelerators: 0 },
  ...fields,
  identity: { id, bornMs: 1, agent: 'a' },
})

/** Creates a state machine with planner input and a planning round whose plan is applied immediately. */
export const createCell = (workers: readonly protocol.workflow.WorkerDescription[]) => {
  const state = workflowState.createWorkflowState()
  const disturbance = scheduling.createInterferenceModel()
  const expected = scheduling.createDurations()
  const submit = (
    id: string,
    steps: readonly protocol.workflow.Step[],
    inQueue = queue(),
    nowMs = 0,
    callerDomain = '',
  ): void => {
    const spec = protocol.workflow.JobSpec.fromPartial({ id, steps })
    state.apply({ nowMs, body: { $case: 'submit', value: { spec, queue: inQueue, callerDomain } } })
  }
  const input = (nowMs = 0): scheduling.PlacementInput => ({
    view: state.view,
    workers: workers.map((description) => ({ description, consecutiveFailures: 0 })),
    expected,
    nowMs,
    maxAssignments: 100,
    avoids: () => false,
    disturbance,
    fillerRank: () => 0,
    waitedMs: () => 0,
  })
  /** Plans and applies the plan; returns its assignments in order as "job.step.index worker". */
  const plan = (fields: Partial<scheduling.PlacementInput> = {}): readonly string[] => {
    const made = scheduling.planAssignments({ ...input(), ...fields })
    state.apply({ nowMs: 0, body: { $case: 'assign', value: made } })
    return made.assignments.map(
      ({ task, worker: to }) =>
        `${task?.job ?? ''}.${task?.step ?? 0}.${task?.index ?? 0} ${to?.id ?? ''}`,
    )
  }
  return { state, disturbance, expected, submit, input, plan }
}
