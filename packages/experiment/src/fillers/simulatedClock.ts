/** Clock that runs the control code on simulated time. */
import * as timers from 'node:timers/promises'
import type * as workflowControl from '@ebonyweir/workflow-control'
import * as eventQueue from '../requests/eventQueue.js'

/** Time of day at the start; fixed, so that runs with the same seed are equal. */
const START_TIME_OF_DAY_MS = 1_800_000_000_000

export interface SimulatedClock extends workflowControl.Clock {
  readonly nowMs: () => number
  readonly at: (timeMs: number, run: () => void) => void
  /** Runs until a time in steps of 1 ms, between which promises settle. */
  readonly runUntil: (untilMs: number) => Promise<void>
}

export const createSimulatedClock = (): SimulatedClock => {
  const queue = eventQueue.createEventQueue()
  let nowMs = 0

  const after: SimulatedClock['after'] = (delayMs, run) => {
    let cancelled = false
    queue.at(nowMs + Math.max(1, Math.ceil(delayMs)), () => {
      if (!cancelled) run()
    })
    return () => {
      cancelled = true
    }
  }

  return {
    nowMs: () => nowMs,
    timeOfDayMs: () => START_TIME_OF_DAY_MS + nowMs,
    at: queue.at,
    after,
    every: (intervalMs, run) => {
      let ended = false
      const repeat = (): void => {
        if (ended) return
        run()
        after(intervalMs, repeat)
      }
      after(intervalMs, repeat)
      return () => {
        ended = true
      }
    },
    runUntil: async (untilMs) => {
      for (; nowMs < untilMs; nowMs += 1) {
        queue.run(nowMs)
        await timers.setImmediate()
      }
    },
  }
}
