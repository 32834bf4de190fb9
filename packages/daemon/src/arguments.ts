/** Parses the command line of the daemon. */
import * as util from 'node:util'

import * as results from 'ts-results-es'

/** Command that the arguments select. */
export type DaemonCommand =
  | { readonly kind: 'help' }
  | { readonly kind: 'check'; readonly settingsFile: string }
  | { readonly kind: 'run'; readonly settingsFile: string }

/** Output of `--help`. */
export const HELP = `Usage: ebonyweird --settings FILE [--check]

Runs one process of ebonyweir: a control replica, an entry or an agent, as set in the settings file.

  --settings FILE  TOML file with the settings of this process
  --check          check the settings file and exit
  --help           print this text

Signals: SIGTERM or SIGINT finishes the work in progress and exits; a second one exits at once.
Exit codes: 0 stopped, 1 failed to start or to continue, 2 mistake in the command line or settings.
Logs are JSON lines on standard output; the line "started" contains the bound addresses.
`

/** Parses the arguments after the program name; the error is a message for the operator. */
export function parseArguments(args: readonly string[]): results.Result<DaemonCommand, string> {
  try {
    const { values } = util.parseArgs({
      args: [...args],
      options: {
        settings: { type: 'string' },
        check: { type: 'boolean' },
        help: { type: 'boolean' },
      },
    })
    if (values.help === true) return results.Ok({ kind: 'help' })
    if (values.settings === undefined) return results.Err('--settings FILE is missing')
    const kind = values.check === true ? 'check' : 'run'
    return results.Ok({ kind, settingsFile: values.settings })
  } catch (error) {
    if (error instanceof TypeError) return results.Err(error.message)
    throw error
  }
}
