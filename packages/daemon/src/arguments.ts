/** Command line of the daemon. */
import * as util from 'node:util'

import * as results from 'ts-results-es'

/** What the command line asks for. */
export type DaemonCommand =
  | { readonly kind: 'help' }
  | { readonly kind: 'check'; readonly settingsFile: string }
  | { readonly kind: 'run'; readonly settingsFile: string }

/** Text of `--help`. */
export const HELP = `Usage: ebonyweird --settings FILE [--check]

Runs one process of ebonyweir: a control replica, an entry or an agent, as the settings file says.

  --settings FILE  TOML file with the settings of this process
  --check          check the settings file and exit
  --help           print this text

Signals: SIGTERM or SIGINT finishes the work in progress and exits; a second one exits at once.
Exit codes: 0 stopped, 1 could not start or go on, 2 mistake in the command line or settings.
Logs are JSON lines on standard output; the line "started" holds the addresses.
`

/** Reads the arguments after the program's name. Errors are for people. */
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
