/** Graceful shutdown on the first signal, immediate exit on the second. */
import * as os from 'node:os'

import type * as telemetry from '@ebonyweir/telemetry/logger'

import * as exitCodes from './exitCodes.js'

export interface ShutdownOptions {
  readonly logger: telemetry.Logger
  /** Finishes the work in progress. */
  readonly stop: () => Promise<void>
  readonly exit: (code: number) => void
}

/** Signals that stop the daemon. */
export type StopSignal = 'SIGTERM' | 'SIGINT'

export type SignalHandler = (signal: StopSignal) => void

/** Base of shell exit codes: a process terminated by signal N exits with this value plus N. */
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
        logger.error('shutdown failed', { detail: String(error) })
        exit(exitCodes.FAILED)
      },
    )
  }
}
