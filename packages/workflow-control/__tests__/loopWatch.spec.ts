import * as vitest from 'vitest'
import * as loopWatch from '../src/loopWatch.js'
import * as workMeter from '../src/workMeter.js'

const { afterEach, beforeEach, describe, expect, it } = vitest

beforeEach(() => {
  vitest.vi.useFakeTimers()
})

afterEach(() => {
  vitest.vi.useRealTimers()
})

/** A watch whose clock can be ahead of the timers, as it is after the loop was blocked. */
const createWatch = () => {
  let blockedMs = 0
  const lines: Readonly<Record<string, unknown>>[] = []
  const discard = (): void => undefined
  const nowMs = (): number => performance.now() + blockedMs
  const work = workMeter.createWorkMeter(nowMs)
  const watch = loopWatch.createLoopWatch({
    nowMs,
    work,
    logger: {
      debug: discard,
      info: discard,
      error: discard,
      warn: (_, fields = {}) => lines.push(fields),
    },
  })
  watch.start()
  return {
    lines,
    watch,
    work,
    block: (ms: number) => {
      blockedMs += ms
    },
  }
}

describe('watch of the loop', () => {
  it.each([
    { name: 'a loop on time', blocksMs: [0, 0], lines: 0, maxMs: 0 },
    { name: 'a loop that is a little late', blocksMs: [100, 240], lines: 0, maxMs: 240 },
    { name: 'a late loop', blocksMs: [300, 0], lines: 1, maxMs: 300 },
  ])('guards against a wrong lateness of $name', ({ blocksMs, lines, maxMs }) => {
    const { watch, lines: logged, block } = createWatch()
    for (const ms of blocksMs) {
      block(ms)
      vitest.vi.advanceTimersByTime(50)
    }
    expect(logged).toHaveLength(lines)
    expect(watch.takeMaxLatenessMs()).toBe(maxMs)
    expect(watch.takeMaxLatenessMs()).toBe(0)
  })

  it('guards against a log that a loop which is always late fills', () => {
    const { lines, block } = createWatch()
    for (let passedMs = 0; passedMs < 3_000; passedMs += 300) {
      block(250.5)
      vitest.vi.advanceTimersByTime(50)
    }
    expect(lines).toHaveLength(3)
  })

  it('guards against a line that does not say what ran since the line before', () => {
    const { lines, work, block } = createWatch()
    const late = (planningMs: number, reports: number): void => {
      work.measure('plan', () => {
        block(planningMs)
      })
      work.count('reports', reports)
      vitest.vi.advanceTimersByTime(50)
    }
    late(400, 2)
    late(1_200, 5)
    expect(lines).toMatchObject([
      { planningMs: 400, reports: 2 },
      { latenessMs: 1_200, planningMs: 1_200, reports: 5 },
    ])
  })
})
