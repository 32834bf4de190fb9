import * as vitest from 'vitest'
import * as modelCheck from '@ebonyweir/model-check'

const { expect, test } = vitest

const explore = (options: modelCheck.LeaseOptions) =>
  modelCheck.explore(modelCheck.createLeaseModel(options), {
    maxStates: 150_000,
    nowMs: () => performance.now(),
  })

// Guards against a leader that reassigns a task while its previous worker still has a valid lease.
test('a worker has stopped before its task is reassigned', () => {
  const result = explore(modelCheck.leaseOptions.production)
  expect(result.violation).toBeUndefined()
  expect(result.complete).toBe(true)
})

// Guards against a model that does not detect the absence of one of the rules.
test.each([['withoutMargin'], ['withoutWait'], ['fromReply']] as const)(
  'has a counterexample with the weakened rule %s',
  (name) => {
    expect(explore(modelCheck.leaseOptions[name]).violation).toBeDefined()
  },
)
