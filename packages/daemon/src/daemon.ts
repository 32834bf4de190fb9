/** The daemon: resolves settings, starts the role and stops it on a signal. */
import * as fs from 'node:fs'
import * as path from 'node:path'

import * as settings from '@ebonyweir/settings'
import * as telemetry from '@ebonyweir/telemetry/logger'
import * as results from 'ts-results-es'

import * as daemonArguments from './arguments.js'
import * as exitCodes from './exitCodes.js'
import * as heap from './heap.js'
import * as role from './role.js'
import * as shutdown from './shutdown.js'

/** Process facilities that the daemon uses. */
export interface DaemonContext {
  readonly args: readonly string[]
  readonly stdout: NodeJS.WritableStream
  readonly stderr: NodeJS.WritableStream
  readonly exit: (code: number) => void
  readonly onSignal: (signal: shutdown.StopSignal, handler: () => void) => void
  /** @default role.loadRole */
  readonly loadRole?: typeof role.loadRole
}

/** Starts the daemon; resolves after the start, or exits with an error message. */
export async function runDaemon(context: DaemonContext): Promise<void> {
  const command = daemonArguments.parseArguments(context.args)
  if (command.isErr()) {
    context.stderr.write(`ebonyweird: ${command.error}\n${daemonArguments.HELP}`)
    context.exit(exitCodes.USAGE)
    return
  }
  if (command.value.kind === 'help') {
    context.stdout.write(daemonArguments.HELP)
    context.exit(exitCodes.STOPPED)
    return
  }
  const resolved = readSettings(command.value.settingsFile)
  if (resolved.isErr()) {
    context.stderr.write(`${resolved.error}\n`)
    context.exit(exitCodes.USAGE)
    return
  }
  if (command.value.kind === 'check') {
    context.stdout.write(`${command.value.settingsFile}: settings are valid\n`)
    context.exit(exitCodes.STOPPED)
    return
  }
  await startRole(resolved.value, context)
}

/** Reads and validates a settings file; a relative data folder is resolved against the file's folder. */
export function readSettings(fileName: string): results.Result<settings.Settings, string> {
  let text: string
  try {
    text = fs.readFileSync(fileName, 'utf8')
  } catch (error) {
    return results.Err(`${fileName}: cannot be read: ${errorMessage(error)}`)
  }
  const resolved = settings.resolveSettings(text, fileName)
  if (resolved.isErr()) {
    return results.Err(resolved.error.mistakes.map(settings.formatSettingsMistake).join('\n'))
  }
  if (resolved.value.role !== 'control') return resolved
  const dataFolder = path.resolve(path.dirname(fileName), resolved.value.dataFolder)
  return results.Ok({ ...resolved.value, dataFolder })
}

async function startRole(resolved: settings.Settings, context: DaemonContext): Promise<void> {
  const { role: roleName, cell, name, failureDomain } = resolved
  const logger = telemetry.createLogger({
    level: resolved.logLevel,
    fields: { role: roleName, cell, name, failureDomain },
    stream: context.stdout,
  })
  if (roleName !== 'agent') heap.enableYoungGenerationGrowth()
  const created = await (context.loadRole ?? role.loadRole)(resolved, logger)
  const handleSignal = shutdown.createShutdown({
    logger,
    stop: () => created.stop(),
    exit: context.exit,
  })
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    context.onSignal(signal, () => {
      handleSignal(signal)
    })
  }
  void created.failed?.then((failure) => {
    logger.error('the role cannot go on', { ...failure })
    context.exit(exitCodes.FAILED)
  })
  const started = await created.start()
  if (started.isErr()) {
    logger.error('the role did not start', { ...started.error })
    context.exit(exitCodes.FAILED)
    return
  }
  logger.info('started', { ...started.value, pid: process.pid })
}

function errorMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
