/** `ebonyweir report burn`: how fast services consume their error budgets. */
import * as fs from 'node:fs'

import type * as protocol from '@ebonyweir/protocol'
import * as clipanion from 'clipanion'
import * as results from 'ts-results-es'

import * as baseCommand from '../baseCommand.js'
import * as burnPage from '../burnPage.js'
import * as burnSources from '../burnSources.js'
import * as burnText from '../burnText.js'
import * as failures from '../failure.js'

type SourceResult = results.Result<protocol.operatorApi.BurnAnswer, burnSources.UnreachableSource>

export class ReportBurnCommand extends baseCommand.BaseCommand {
  static override paths = [['report', 'burn']]

  static override usage = clipanion.Command.Usage({
    category: 'Inspection',
    description: 'Report service-level burn',
    details: `
      A burn rate of 1 uses up exactly the error budget of a service. A service is burning when both windows
      of a pair are at or above the limit: 5 min and 1 h (fast), 30 min and 6 h (slow). The budget covers
      the last 6 h. The report combines the entries and the control leader and lists those that it could
      not read; counts are then too low, but not otherwise wrong.

      Exit codes: 0 reported (perhaps from some sources only), 2 usage, 4 no source answered.
    `,
    examples: [
      ['In the terminal', 'ebonyweir report burn --entry 10.0.1.8:8080,10.0.2.8:8080'],
      ['As a page with plots', 'ebonyweir report burn --html burn.html'],
    ],
  })

  entry = clipanion.Option.Array('--entry', [], {
    description: 'HTTP address of an entry; can be repeated or separated by commas',
  })

  html = clipanion.Option.String('--html', { description: 'Write a page with plots to this file' })

  override async run(): Promise<baseCommand.CommandResult> {
    const configured = this.resolveConfiguration(this.entry)
    if (configured.isErr()) return configured
    const { controlAddresses, entryAddresses } = configured.value
    if (controlAddresses.length + entryAddresses.length === 0) {
      const message = 'list control replicas with --control or entries with --entry'
      return results.Err(failures.createFailure('usage', message))
    }
    const sources = await Promise.all([
      ...(controlAddresses.length > 0 ? [this.readControl(controlAddresses)] : []),
      ...entryAddresses.map((address) => this.readEntry(address)),
    ])
    const answers = sources.flatMap((source) => (source.isOk() ? [source.value] : []))
    const unreached = sources.flatMap((source) => (source.isErr() ? [source.error] : []))
    if (answers.length === 0) {
      const details = unreached.map(({ address, detail }) => `${address}: ${detail}`)
      return results.Err(failures.createFailure('unreachable', 'no source answered', details))
    }
    return this.writeReport(burnSources.computeReport(answers, unreached))
  }

  private async readControl(addresses: readonly string[]): Promise<SourceResult> {
    const answer = await this.call<protocol.operatorApi.BurnAnswer>({
      method: 'GET',
      path: '/v1/burn',
    })
    return answer.mapErr((failure) => ({
      address: `control ${addresses.join(', ')}`,
      detail: [failure.message, ...failure.details].join('; '),
    }))
  }

  private async readEntry(address: string): Promise<SourceResult> {
    const attempt = await this.createSender()(address, { method: 'GET', path: '/v1/burn' })
    if (attempt.kind !== 'answer') {
      return results.Err({ address: `entry ${address}`, detail: attempt.detail })
    }
    return attempt.status === 200
      ? results.Ok(attempt.body as protocol.operatorApi.BurnAnswer)
      : results.Err({ address: `entry ${address}`, detail: `HTTP status ${attempt.status}` })
  }

  private writeReport(report: burnSources.BurnReport): baseCommand.CommandResult {
    const text = burnText.renderReport(report)
    if (this.html === undefined) return results.Ok({ json: report, text })
    try {
      fs.writeFileSync(this.html, burnPage.renderPage(report))
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error)
      return results.Err(
        failures.createFailure('usage', `${this.html} cannot be written`, [detail]),
      )
    }
    return results.Ok({ json: report, text: `${text}\npage written to ${this.html}\n` })
  }
}
