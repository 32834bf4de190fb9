/** Graceful shutdown on the first signal, exit at once on the second. */
import * as os from 'node:os'

import type * as telemetry from '@ebonyweir/telemetry/logger'

import * as exitCodes from './exitCodes.js'

/** Options of `createShutdown`. */
export interface ShutdownOptions {
  readonly logger: telemetry.Logger
  /** Finishes the work in progress. */
  readonly stop: () => Promise<void>
  readonly exit: (code: number) => void
}

/** Signals that stop the daemon. */
export type StopSignal = 'SIGTERM' | 'SIGINT'

/** Handles one signal. */
export type SignalHandler = (signal: StopSignal) => void

/** Added to the number of a signal to give the exit code of a process that it ended. */
const SIGNAL_EXIT_BASE = 128

/** Creates the handler for SIGTERM and SIGINT. */
export function createShutdown(options: ShutdownOptions): SignalHandler {
  const { logger, stop, exit } = options
  let stopping = false
  return (signal) => {
    if (stopping) {
      logger.warn('second signal; exiting without finishing the work in progress', { signal })
      exit(SIGNAL_EXIT_BASE + os.constants.signals[signal])
      return
    }
    stopping = true
    logger.info('stopping', { signal })
    stop().then(
      () => {
        logger.info('stopped')
        exit(exitCodes.STOPPED)
      },
      (error: unknown) => {
        logger.error('stopping failed', { detail: String(error) })
        exit(exitCodes.FAILED)
      },
    )
  }
}
