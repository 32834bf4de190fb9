/** Exit codes of the CLI; operators' scripts depend on them. */

/** The command succeeded. */
export const DONE = 0

/** The system or a check refused the request; nothing was changed. */
export const REFUSED = 1

/** Mistake in the command line or its configuration file. */
export const USAGE = 2

/** Another operator's change was accepted first; nothing was changed. */
export const CONFLICT = 3

/** No server could process the request; nothing was changed. */
export const UNREACHABLE = 4

/** The answer was lost; the change may have been accepted. Run the same command again. */
export const UNKNOWN = 5
