/** Registers the commands and maps every outcome to an exit code. */
import * as clipanion from 'clipanion'

import * as check from './commands/check.js'
import * as failureDomain from './commands/failureDomain.js'
import * as job from './commands/job.js'
import * as members from './commands/members.js'
import * as reportBurn from './commands/reportBurn.js'
import * as rules from './commands/rules.js'
import * as status from './commands/status.js'
import * as exitCodes from './exitCodes.js'

/** Streams and environment of one invocation. */
export type CliContext = Partial<clipanion.BaseContext>

const commands = [
  check.CheckCommand,
  rules.RulesCommand,
  rules.DiffCommand,
  rules.ApplyCommand,
  failureDomain.DrainCommand,
  failureDomain.ReturnCommand,
  job.JobSubmitCommand,
  job.JobStatusCommand,
  job.JobListCommand,
  job.JobCancelCommand,
  members.MembersCommand,
  members.MembersInitCommand,
  members.MembersAddCommand,
  members.MembersRemoveCommand,
  status.StatusCommand,
  status.ExplainCommand,
  reportBurn.ReportBurnCommand,
]

/** Creates the CLI; colours are for terminals only, so that its output can be piped and searched. */
export function createCli(enableColors: boolean): clipanion.Cli {
  const cli = new clipanion.Cli({
    enableColors,
    binaryLabel: 'ebonyweir',
    binaryName: 'ebonyweir',
    binaryVersion: '0.1.0',
  })
  for (const command of commands) cli.register(command)
  cli.register(clipanion.Builtins.HelpCommand)
  cli.register(clipanion.Builtins.VersionCommand)
  return cli
}

/** Runs one command and returns its exit code; an invalid command line gives `USAGE`. */
export async function runCli(args: readonly string[], context: CliContext): Promise<number> {
  const streams: clipanion.BaseContext = { ...clipanion.Cli.defaultContext, ...context }
  const cli = createCli(isTerminal(streams.stdout))
  let command: clipanion.Command
  try {
    command = cli.process([...args], streams)
  } catch (error) {
    if (!(error instanceof Error)) throw error
    streams.stderr.write(cli.error(error, { colored: false }))
    return exitCodes.USAGE
  }
  return cli.run(command, streams)
}

function isTerminal(stream: NodeJS.WritableStream): boolean {
  return 'isTTY' in stream && stream.isTTY === true
}
