/** Base class of all commands: shared options, client, output and exit codes. */
import * as fs from 'node:fs'
import * as timers from 'node:timers/promises'

import * as clipanion from 'clipanion'
import * as results from 'ts-results-es'

import * as configuration from './configuration.js'
import * as exitCodes from './exitCodes.js'
import * as failures from './failure.js'
import * as operatorClient from './operatorClient.js'
import * as transport from './transport.js'

/** Output of a successful command: a JSON document and human-readable text. */
export interface CommandOutput {
  readonly json: unknown
  readonly text: string
}

/** Output or failure of a command. */
export type CommandResult = results.Result<CommandOutput, failures.Failure>

const clock: operatorClient.Clock = {
  nowMs: () => performance.now(),
  sleep: (ms) => timers.setTimeout(ms),
}

const DEFAULT_TIMEOUT_MS = 15_000
const ATTEMPT_TIMEOUT_MS = 3_000
const POLL_INTERVAL_MS = 250

/** Base of the commands; a class because clipanion requires commands to be classes. */
export abstract class BaseCommand extends clipanion.Command {
  json = clipanion.Option.Boolean('--json', false, {
    description: 'Print one JSON document instead of text',
  })

  control = clipanion.Option.Array('--control', [], {
    description: 'HTTP address of a control replica; can be repeated or separated by commas',
  })

  config = clipanion.Option.String('--config', {
    description: 'Configuration file of the CLI (default: ebonyweir.toml, if it exists)',
  })

  timeoutMs = clipanion.Option.String('--timeout-ms', String(DEFAULT_TIMEOUT_MS), {
    description: 'Timeout of the command, in milliseconds (default: 15000)',
  })

  /** Implements the command; `execute` prints its result. */
  abstract run(): Promise<CommandResult>

  override async execute(): Promise<number> {
    const result = this.readTimeoutMs() > 0 ? await this.run() : this.createTimeoutFailure()
    if (result.isOk()) {
      const { json, text } = result.value
      this.context.stdout.write(this.json ? `${JSON.stringify(json, null, 2)}\n` : text)
      return exitCodes.DONE
    }
    return this.reportFailure(result.error)
  }

  /** Resolves addresses and the operator's name from options, environment and file. */
  protected resolveConfiguration(
    entry: readonly string[] = [],
  ): results.Result<configuration.CliConfiguration, failures.Failure> {
    return configuration.resolveConfiguration({
      control: this.control.flatMap(configuration.splitCommaList),
      entry: entry.flatMap(configuration.splitCommaList),
      configFile: this.config,
      environment: this.context.env,
    })
  }

  /** Returns the operator's name from `--by` or the configuration file. */
  protected resolveOperator(by: string | undefined): results.Result<string, failures.Failure> {
    const configured = this.resolveConfiguration()
    if (configured.isErr()) return configured
    const name = (by ?? configured.value.operator).trim()
    if (name !== '' && !/\p{Cc}/u.test(name)) return results.Ok(name)
    const message = 'name the operator with --by NAME (one line of text)'
    return results.Err(failures.createFailure('usage', message))
  }

  /** Sends a request to the control group, following redirects to the leader. */
  protected async call<T>(
    request: transport.ApiRequest,
  ): Promise<results.Result<T, failures.Failure>> {
    const configured = this.resolveConfiguration()
    if (configured.isErr()) return configured
    const { controlAddresses } = configured.value
    if (controlAddresses.length === 0) return results.Err(createMissingControlFailure())
    const client = operatorClient.createOperatorClient({
      addresses: controlAddresses,
      send: this.createSender(),
      clock,
      timeoutMs: this.readTimeoutMs(),
    })
    return client.call<T>(request)
  }

  /** Creates a sender that does not follow redirects to the leader. */
  protected createSender(): transport.SendRequest {
    return transport.createSender(Math.min(ATTEMPT_TIMEOUT_MS, this.readTimeoutMs()))
  }

  /** Calls `poll` until it returns a result or the command times out. */
  protected async waitFor(
    poll: () => Promise<CommandResult | undefined>,
    describe: () => string,
  ): Promise<CommandResult> {
    const deadlineMs = clock.nowMs() + this.readTimeoutMs()
    for (;;) {
      const result = await poll()
      if (result !== undefined) return result
      if (clock.nowMs() >= deadlineMs) {
        return results.Err(failures.createFailure('refused', `timed out: ${describe()}`))
      }
      await clock.sleep(POLL_INTERVAL_MS)
    }
  }

  /** Reads a file named on the command line. */
  protected readFile(fileName: string): results.Result<string, failures.Failure> {
    try {
      return results.Ok(fs.readFileSync(fileName, 'utf8'))
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error)
      return results.Err(failures.createFailure('usage', `${fileName} cannot be read: ${detail}`))
    }
  }

  private readTimeoutMs(): number {
    const timeoutMs = Number(this.timeoutMs)
    return Number.isFinite(timeoutMs) ? timeoutMs : 0
  }

  private createTimeoutFailure(): CommandResult {
    const message = `--timeout-ms "${this.timeoutMs}" is not a number of milliseconds above 0`
    return results.Err(failures.createFailure('usage', message))
  }

  private reportFailure(failure: failures.Failure): number {
    const exitCode = failures.exitCodeOf(failure)
    if (this.json) {
      this.context.stdout.write(`${JSON.stringify({ ...failure, exitCode }, null, 2)}\n`)
    } else {
      this.context.stderr.write(failures.formatFailure(failure))
    }
    return exitCode
  }
}

function createMissingControlFailure(): failures.Failure {
  return failures.createFailure('usage', 'no control address is configured', [
    `use --control HOST:PORT, the environment variable ${configuration.CONTROL_VARIABLE},`,
    `or controlAddresses in ${configuration.DEFAULT_CONFIG_FILE}`,
  ])
}
