/**
 * Local alarm of a worker's agent. While the agent gets no orders from a leader, it pauses all best-effort tasks when a
 * latency-critical task keeps missing its latency target.
 */
import type * as colocated from './colocatedTasks.js'

/** Time above the target after which the agent pauses all best-effort tasks. */
const ALARM_DELAY_MS = 1_800

/** Share of the target at or below which a raised alarm is cleared. */
const ALARM_END_SHARE = 0.8

export interface Alarm {
  /** Time since when a latency-critical task has been above its target; undefined if none is. */
  readonly overSinceMs: number | undefined
  /** Whether all best-effort tasks are paused. */
  readonly raised: boolean
}

export const NO_ALARM: Alarm = { overSinceMs: undefined, raised: false }

/** Next state of the alarm, from the tail latencies measured at `nowMs`. */
export const nextAlarm = (
  alarm: Alarm,
  serving: readonly Pick<colocated.LatencyCriticalTask, 'tailMs' | 'targetMs'>[],
  nowMs: number,
): Alarm => {
  const pressure = Math.max(0, ...serving.map(({ tailMs, targetMs }) => tailMs / targetMs))
  if (pressure > 1) {
    const overSinceMs = alarm.overSinceMs ?? nowMs
    return { overSinceMs, raised: alarm.raised || nowMs - overSinceMs >= ALARM_DELAY_MS }
  }
  return { overSinceMs: undefined, raised: alarm.raised && pressure > ALARM_END_SHARE }
}
