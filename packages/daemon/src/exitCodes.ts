/** Exit codes of the daemon; a second signal exits with 128 plus its number. */

/** Stopped by a signal after the work in progress was finished. */
export const STOPPED = 0

/** The role could not start or could not go on. */
export const FAILED = 1

/** The command line or the settings file has a mistake. */
export const USAGE = 2
