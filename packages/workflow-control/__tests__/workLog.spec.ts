import * as vitest from 'vitest'
import * as workLogs from '../src/workLog.js'
import * as workStatistics from '../src/workStatistics.js'

const { afterEach, beforeEach, describe, expect, it } = vitest

beforeEach(() => {
  vitest.vi.useFakeTimers()
})

afterEach(() => {
  vitest.vi.useRealTimers()
})

const discard = (): void => undefined

/** A log whose work and busy time are set by the test. */
const createLog = () => {
  const lines: Readonly<Record<string, unknown>>[] = []
  const state = { busyMs: 0, leading: true, nowMs: 0 }
  const work = workStatistics.createWorkStatistics(() => state.nowMs)
  const log = workLogs.createWorkLog({
    work,
    busyMs: () => state.busyMs,
    isLeading: () => state.leading,
    logger: {
      debug: discard,
      warn: discard,
      error: discard,
      info: (_, fields = {}) => lines.push(fields),
    },
  })
  log.start()
  return {
    lines,
    state,
    log,
    /** One second in which a round of `planMs` looks at `workers` workers. */
    second: (planMs: number, workers: number) => {
      work.measure('plan', () => {
        state.nowMs += planMs
      })
      work.count('workersLookedAt', workers)
      state.busyMs += planMs
      vitest.vi.advanceTimersByTime(1_000)
    },
  }
}

describe('work log', () => {
  it('guards against lines with totals since the start instead of those of one second', () => {
    const { lines, second } = createLog()
    second(120, 300)
    second(40, 80)
    expect(lines).toMatchObject([
      { busyMs: 120, planMs: 120, workersLookedAt: 300 },
      { busyMs: 40, planMs: 40, workersLookedAt: 80 },
    ])
  })

  it('guards against lines of a replica that does not lead, and against its work in the first line', () => {
    const { lines, state, second } = createLog()
    state.leading = false
    second(500, 1)
    state.leading = true
    second(30, 2)
    expect(lines).toMatchObject([{ busyMs: 30, planMs: 30, workersLookedAt: 2 }])
  })

  it('guards against lines after the stop', () => {
    const { lines, log, second } = createLog()
    log.stop()
    second(10, 1)
    expect(lines).toEqual([])
  })
})
