/** Exit codes of the command-line tool; operators' scripts depend on them. */

/** Done. */
export const DONE = 0

/** The system or a check refused it; nothing was changed. */
export const REFUSED = 1

/** Mistake in the command line or its configuration file. */
export const USAGE = 2

/** Another operator's change was accepted first; nothing was changed. */
export const CONFLICT = 3

/** No answer could be had; nothing was changed. */
export const UNREACHABLE = 4

/** The answer was lost; the change may have been accepted. Run the same command again. */
export const UNKNOWN = 5
