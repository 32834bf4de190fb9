/** Exit codes of the daemon; on a second signal it exits with 128 plus the signal number. */

/** Stopped by a signal after finishing the work in progress. */
export const STOPPED = 0

/** The role failed to start or to continue. */
export const FAILED = 1

/** The command line or the settings file has a mistake. */
export const USAGE = 2
