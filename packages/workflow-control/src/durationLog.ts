/** Logs the images whose task durations have the heaviest tails. */
import type * as telemetry from '@ebonyweir/telemetry/logger'
import type * as scheduling from '@ebonyweir/workflow-scheduling'

/** Shortest interval between two lines, in milliseconds; the window of an image changes little in less. */
const LOG_INTERVAL_MS = 10_000

/** Images in one line. */
const MAX_LOGGED_IMAGES = 5

export interface DurationLogOptions {
  readonly logger: telemetry.Logger
  readonly durations: Pick<scheduling.Durations, 'learned' | 'heaviestTails'>
  readonly nowMs: () => number
}

export interface DurationLog {
  /** Logs a line if one is due and there is something new to say. */
  readonly sweep: () => void
}

export const createDurationLog = (options: DurationLogOptions): DurationLog => {
  const { logger, durations, nowMs } = options
  let loggedMs = nowMs()
  let loggedObservations = 0

  return {
    sweep: () => {
      const now = nowMs()
      if (now - loggedMs < LOG_INTERVAL_MS) return
      loggedMs = now
      const { images, observations } = durations.learned()
      if (observations === loggedObservations) return
      const heaviest = durations.heaviestTails(MAX_LOGGED_IMAGES)
      if (heaviest.length === 0) return
      logger.info('heaviest duration tails', {
        images,
        observations,
        newObservations: observations - loggedObservations,
        heaviest: heaviest.map(
          ({ image, median, tail }) => `${image} ${median.toFixed(2)} ${tail.toFixed(2)}`,
        ),
      })
      loggedObservations = observations
    },
  }
}
