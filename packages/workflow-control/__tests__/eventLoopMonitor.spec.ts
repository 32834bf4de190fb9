import * as vitest from 'vitest'
import * as eventLoopMonitor from '../src/eventLoopMonitor.js'
import * as workStatistics from '../src/workStatistics.js'

const { afterEach, beforeEach, describe, expect, it } = vitest

beforeEach(() => {
  vitest.vi.useFakeTimers()
})

afterEach(() => {
  vitest.vi.useRealTimers()
})

/** A monitor whose clock can be ahead of the timers, as after a blocked event loop. */
const createMonitor = () => {
  let blockedMs = 0
  const lines: Readonly<Record<string, unknown>>[] = []
  const discard = (): void => undefined
  const nowMs = (): number => performance.now() + blockedMs
  const work = workStatistics.createWorkStatistics(nowMs)
  const monitor = eventLoopMonitor.createEventLoopMonitor({
    nowMs,
    work,
    logger: {
      debug: discard,
      info: discard,
      error: discard,
      warn: (_, fields = {}) => lines.push(fields),
    },
  })
  monitor.start()
  return {
    lines,
    monitor,
    work,
    block: (ms: number) => {
      blockedMs += ms
    },
  }
}

describe('event loop monitor', () => {
  it.each([
    { name: 'an event loop without delay', blocksMs: [0, 0], lines: 0, maxMs: 0 },
    { name: 'a slightly delayed event loop', blocksMs: [100, 240], lines: 0, maxMs: 240 },
    { name: 'a delayed event loop', blocksMs: [300, 0], lines: 1, maxMs: 300 },
  ])('guards against a wrong delay of $name', ({ blocksMs, lines, maxMs }) => {
    const { monitor, lines: logged, block } = createMonitor()
    for (const ms of blocksMs) {
      block(ms)
      vitest.vi.advanceTimersByTime(50)
    }
    expect(logged).toHaveLength(lines)
    expect(monitor.takeMaxDelayMs()).toBe(maxMs)
    expect(monitor.takeMaxDelayMs()).toBe(0)
  })

  it('guards against a log flooded by a permanently delayed event loop', () => {
    const { lines, block } = createMonitor()
    for (let passedMs = 0; passedMs < 3_000; passedMs += 300) {
      block(250.5)
      vitest.vi.advanceTimersByTime(50)
    }
    expect(lines).toHaveLength(3)
  })

  it('guards against a log line without the work since the previous line', () => {
    const { lines, work, block } = createMonitor()
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
