import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import * as protocol from '@ebonyweir/protocol'
import * as vitest from 'vitest'

const { describe, expect, it } = vitest

const QUEUE = protocol.workflow.Queue.fromPartial({ name: 'q', service: 's', slackFactor: 2 })

/** State with one job of `count` steps that are all ready. */
const createState = (count: number): workflowState.WorkflowState => {
  const state = workflowState.createWorkflowState()
  const step = protocol.workflow.Step.fromPartial({ taskCount: 1, estimatedMs: 1_000 })
  const steps = Array.from({ length: count }, () => step)
  const spec = { ...protocol.workflow.JobSpec.fromPartial({ id: 'j' }), steps }
  const value = { spec, queue: QUEUE, callerDomain: '' }
  state.apply({ nowMs: 0, body: { $case: 'submit', value } })
  return state
}

describe('order of the ready steps of a large job', () => {
  // Guards against critical paths that are computed anew for each step: eight jobs of 480 steps stopped the leader.
  it.each([10, 100, 800])('looks at each of %i steps a few times only', (count) => {
    const { view } = createState(count)
    const durations = scheduling.createDurations()
    let queries = 0
    const counted: scheduling.Durations = {
      ...durations,
      longestMs: (step) => {
        queries += 1
        return durations.longestMs(step)
      },
      stepRemainingMs: (step) => {
        queries += 1
        return durations.stepRemainingMs(step)
      },
    }
    const urgencyOf = scheduling.createUrgencies(counted, 5_000)
    const urgencies = [...view.readySteps].map(urgencyOf)
    expect(urgencies).toHaveLength(count)
    expect(queries).toBeLessThanOrEqual(2 * count)
    const single = [...view.readySteps].map((step) => scheduling.urgencyOf(step, durations, 5_000))
    expect(urgencies).toEqual(single)
  })
})
