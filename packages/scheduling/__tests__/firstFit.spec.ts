import * as vitest from 'vitest'
import * as support from '../../control-state/__tests__/support.js'
import * as scheduling from '../src/index.js'

const { expect, test } = vitest

// Guards against assignments that the control state refuses.
test('assigns waiting runners and tasks so that each is accepted', () => {
  const log = support.createLog()
  log.rules(0, { services: { desk: 2 } })
  log.worker('w1')
  log.worker('w2', { failureDomain: 'rennes' })
  log.submit('j', { tasks: 20 })
  const scheduler = scheduling.createScheduler({ random: () => 0.5 })
  const { assignments } = scheduler.decide(log.state.view, { reports: [], assigning: false }, 0)
  const outcome = log.run({ $case: 'assignTasks', value: { assignments } })
  expect(assignments).toHaveLength(8)
  expect(outcome.kind === 'tasksAssigned' && outcome.results.map((r) => r.refusal)).toEqual(
    new Array(8).fill(undefined),
  )
})
