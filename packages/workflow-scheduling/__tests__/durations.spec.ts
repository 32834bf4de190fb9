import * as scheduling from '@ebonyweir/workflow-scheduling'
import type * as workflowState from '@ebonyweir/workflow-state'
import * as vitest from 'vitest'
import * as support from './support.js'

const { describe, expect, it } = vitest
const { step, worker, createCell } = support

const ESTIMATED_MS = 1_000

/** Steps of separate jobs about which nothing has been learned yet. */
const createSteps = (count: number, filling: boolean): readonly workflowState.StepView[] => {
  const cell = createCell([worker('w')])
  return Array.from({ length: count }, (_, index) => {
    cell.submit(`j${index}`, [step({ filling, estimatedMs: ESTIMATED_MS })])
    const found = cell.state.view.jobs.get(`j${index}`)?.occurrences.get(0)?.steps[0]
    if (found === undefined) throw new Error('no step')
    return found
  })
}

describe('expected durations', () => {
  it.each([
    {
      name: 'corrects the estimate of a best-effort step by the mean error of earlier estimates',
      filling: true,
      seen: 3,
      expectedMs: 2_000,
    },
    {
      name: 'does not correct estimates after only two steps',
      filling: true,
      seen: 2,
      expectedMs: ESTIMATED_MS,
    },
    {
      name: 'does not correct estimates of steps that are not best-effort',
      filling: false,
      seen: 3,
      expectedMs: ESTIMATED_MS,
    },
  ])('$name', ({ filling, seen, expectedMs }) => {
    const durations = scheduling.createDurations()
    const steps = createSteps(seen + 1, filling)
    for (const one of steps.slice(0, seen)) durations.observeProgress(one, 1_000, 0.5)
    const last = steps.at(-1)
    expect(last && durations.expect(last)).toBeCloseTo(expectedMs)
  })

  it('guards against an expected duration of zero after progress without full-speed time', () => {
    const durations = scheduling.createDurations()
    const steps = createSteps(4, true)
    for (const one of steps.slice(0, 3)) durations.observeProgress(one, 0, 0.5)
    const last = steps.at(-1)
    expect(last && durations.expect(last)).toBe(ESTIMATED_MS)
  })
})
