import * as workflowClient from '@ebonyweir/workflow-client'
import * as vitest from 'vitest'

const { afterEach, beforeEach, describe, expect, it } = vitest

beforeEach(() => {
  vitest.vi.useFakeTimers()
})

afterEach(() => {
  vitest.vi.useRealTimers()
})

/** Read delay of a process whose clocks the test advances without running its timers. */
const createSubject = () => {
  let steadyMs = 0
  let suspendedMs = 0
  const nowMs = (): number => performance.now() + steadyMs
  const delay = workflowClient.createReadDelay({
    nowMs,
    timeOfDayMs: () => nowMs() + suspendedMs,
  })
  delay.start()
  return {
    delay,
    run: (ms: number) => {
      vitest.vi.advanceTimersByTime(ms)
    },
    freeze: (ms: number) => {
      steadyMs += ms
    },
    suspend: (ms: number) => {
      suspendedMs += ms
    },
  }
}

describe('age of a message that is read', () => {
  const cases: readonly {
    readonly name: string
    readonly before: readonly (readonly ['run' | 'freeze' | 'suspend', number])[]
    readonly after?: readonly (readonly ['run' | 'freeze' | 'suspend', number])[]
    readonly minMs: number
    readonly maxMs: number
  }[] = [
    { name: 'is short in a process that runs', before: [['run', 500]], minMs: 0, maxMs: 50 },
    {
      name: 'covers a freeze that no timer has shown yet',
      before: [
        ['run', 500],
        ['freeze', 4_000],
      ],
      minMs: 4_000,
      maxMs: 4_100,
    },
    {
      name: 'covers a freeze that a timer showed before the message was read',
      before: [
        ['freeze', 4_000],
        ['run', 400],
      ],
      minMs: 4_000,
      maxMs: 4_100,
    },
    {
      name: 'covers a suspension, during which the monotonic clock stands still',
      before: [
        ['suspend', 4_000],
        ['run', 100],
      ],
      minMs: 4_000,
      maxMs: 4_100,
    },
    {
      name: 'forgets a freeze once its backlog is read',
      before: [
        ['freeze', 4_000],
        ['run', 2_000],
      ],
      minMs: 0,
      maxMs: 50,
    },
    {
      name: 'includes a freeze after the message was read',
      before: [['run', 500]],
      after: [
        ['run', 100],
        ['freeze', 3_000],
      ],
      minMs: 3_100,
      maxMs: 3_200,
    },
  ]

  it.each(cases)('$name', ({ before, after = [], minMs, maxMs }) => {
    const subject = createSubject()
    for (const [what, ms] of before) subject[what](ms)
    const ageMs = subject.delay.trackAge()
    for (const [what, ms] of after) subject[what](ms)
    expect(ageMs()).toBeGreaterThanOrEqual(minMs)
    expect(ageMs()).toBeLessThanOrEqual(maxMs)
    subject.delay.stop()
  })
})
