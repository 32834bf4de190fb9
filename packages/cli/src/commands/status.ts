/** `ebonyweir status` and `explain`: the state of the cell and the reasons for it. */
import * as fs from 'node:fs'
import type * as protocol from '@ebonyweir/protocol'
import * as clipanion from 'clipanion'
import * as results from 'ts-results-es'

import * as baseCommand from '../baseCommand.js'
import * as failures from '../failure.js'
import * as output from '../output.js'

const CATEGORY = 'Inspection'

export class StatusCommand extends baseCommand.BaseCommand {
  static override paths = [['status']]

  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'Show the state of the cell',
    details: `
      Shows the revision in force, failure domains, services, teams, workers (with --workers) and the work
      that cannot be placed, each with its rule and the person who requested it.
    `,
    examples: [['Everything', 'ebonyweir status --workers']],
  })

  workers = clipanion.Option.Boolean('--workers', false, { description: 'List every worker' })

  override async run(): Promise<baseCommand.CommandResult> {
    const status = await this.call<protocol.operatorApi.StatusAnswer>({
      method: 'GET',
      path: '/v1/status',
    })
    return status.map((answer) => ({ json: answer, text: renderStatus(answer, this.workers) }))
  }
}

export class ExplainCommand extends baseCommand.BaseCommand {
  static override paths = [['explain']]

  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'Explain the state of a job, task, worker, service or failure domain',
    details: `
      Lists the decisions about the subject, each with the rule that caused it and who requested that rule.

      With --submission, SUBJECT is the path of a submission to a queue, which ends with the id of the job, and
      FILE holds its body. The command says where the tasks of that job would be placed now and why, and submits
      nothing. For a job that was accepted it explains the tasks that wait.

      Exit codes: 0 explained, 1 unknown subject, 2 usage, 4 unreachable.
    `,
    examples: [
      ['Why is this job waiting?', 'ebonyweir explain fitting-0917'],
      ['Where does this runner run?', 'ebonyweir explain service/swap-desk/3'],
      [
        'Where would this job run?',
        'ebonyweir explain /quotes/00000000000000aa --host desk.example --submission job.json',
      ],
    ],
  })

  subject = clipanion.Option.String({ name: 'SUBJECT' })
  submission = clipanion.Option.String('--submission', {
    description: 'File with the body of a submission that is not sent',
  })
  host = clipanion.Option.String('--host', { description: 'Host of the queue, for --submission' })

  override async run(): Promise<baseCommand.CommandResult> {
    if (this.submission !== undefined) return this.explainSubmission(this.submission)
    const explained = await this.call<protocol.operatorApi.ExplainAnswer>({
      method: 'GET',
      path: `/v1/explain?subject=${encodeURIComponent(this.subject)}`,
    })
    return explained.map((answer) => ({ json: answer, text: renderExplanation(answer) }))
  }

  private async explainSubmission(file: string): Promise<baseCommand.CommandResult> {
    if (this.host === undefined) {
      return results.Err(failures.createFailure('usage', 'name the host of the queue with --host'))
    }
    const job = readSubmission(file)
    if (job.isErr()) return job
    const explained = await this.call<protocol.operatorApi.ExplainAnswer>({
      method: 'POST',
      path: '/-/explain',
      body: { host: this.host, path: this.subject, job: job.value },
    })
    return explained
      .mapErr(withoutEffect)
      .map((answer) => ({ json: answer, text: renderExplanation(answer) }))
  }
}

/** A lost answer of an explanation leaves nothing in doubt. */
const withoutEffect = (failure: failures.Failure): failures.Failure =>
  failure.kind === 'unknown'
    ? failures.createFailure('unreachable', 'the explanation got no answer', failure.details)
    : failure

const readSubmission = (file: string): results.Result<unknown, failures.Failure> => {
  const read = results.Result.wrap<unknown, Error>(() => JSON.parse(fs.readFileSync(file, 'utf8')))
  return read.mapErr(({ message }) =>
    failures.createFailure('usage', `${file} cannot be read as JSON: ${message}`),
  )
}

function renderExplanation(answer: protocol.operatorApi.ExplainAnswer): string {
  const head = `${answer.subjectKind} ${answer.subject}: ${answer.state}\n`
  const lines = answer.explanations.map(({ atMs, text, rule }) => {
    const time = atMs === 0 ? '' : `${new Date(atMs).toISOString()} `
    const cause = rule === undefined ? '' : `\n    because of ${failures.describeRule(rule)}`
    return `  ${time}${text}${cause}\n`
  })
  return `${head}${lines.join('')}`
}

/** Renders a status as tables. */
export function renderStatus(
  status: protocol.operatorApi.StatusAnswer,
  listWorkers: boolean,
): string {
  const { cell, leader, term, revision } = status
  const sections = [
    `cell ${cell}, revision ${revision}, leader ${leader} in term ${term}\n${countJobs(status)}`,
    renderFailureDomains(status),
    renderServices(status),
    renderTeams(status),
    listWorkers ? renderWorkers(status) : countWorkers(status),
    renderProcesses(status),
    renderWaiting(status),
  ]
  return sections.filter((section) => section !== '').join('\n')
}

function countJobs({ jobs }: protocol.operatorApi.StatusAnswer): string {
  const counts = Object.entries(jobs).map(([state, count]) => `${count} ${state}`)
  return `jobs: ${counts.join(', ')}\n`
}

function renderFailureDomains({ failureDomains }: protocol.operatorApi.StatusAnswer): string {
  return renderList(
    ['failure domain', 'state', 'workers', 'tasks', 'endpoints', 'rule'],
    failureDomains.map((domain) => [
      domain.failureDomain,
      domain.state,
      String(domain.workers),
      String(domain.runningTasks),
      String(domain.endpoints),
      failures.describeRule(domain.rule),
    ]),
  )
}

function renderServices({ services }: protocol.operatorApi.StatusAnswer): string {
  return renderList(
    ['service', 'runners', 'wanted', 'endpoints', 'leaving', 'rule'],
    services.map((service) => [
      service.service,
      String(service.runningRunners),
      String(service.wantedRunners),
      String(service.endpoints),
      String(service.leavingEndpoints),
      failures.describeRule(service.rule),
    ]),
  )
}

function renderTeams({ teams }: protocol.operatorApi.StatusAnswer): string {
  return renderList(
    ['team', 'used', 'quota', 'rule'],
    teams.map((team) => [
      team.team,
      output.formatResources(team.used),
      output.formatResources(team.quota),
      failures.describeRule(team.rule),
    ]),
  )
}

function renderWorkers({ workers }: protocol.operatorApi.StatusAnswer): string {
  return renderList(
    ['worker', 'failure domain', 'rack', 'state', 'tasks', 'committed', 'capacity'],
    workers.map((worker) => [
      worker.worker,
      worker.failureDomain,
      worker.rack,
      worker.state,
      String(worker.runningTasks),
      output.formatResources(worker.committed),
      output.formatResources(worker.capacity),
    ]),
  )
}

function countWorkers({ workers }: protocol.operatorApi.StatusAnswer): string {
  const states = [...new Set(workers.map((worker) => worker.state))].sort()
  const counts = states.map(
    (state) => `${workers.filter((worker) => worker.state === state).length} ${state}`,
  )
  return `workers: ${counts.join(', ') || 'none'}\n`
}

function renderProcesses({ processes, revision }: protocol.operatorApi.StatusAnswer): string {
  return renderList(
    ['process', 'name', 'failure domain', 'revision'],
    processes.map((process) => [
      process.role,
      process.name,
      process.failureDomain,
      process.revision === revision ? String(revision) : `${process.revision} (behind)`,
    ]),
  )
}

function renderWaiting({ waiting }: protocol.operatorApi.StatusAnswer): string {
  return renderList(
    ['waiting', 'reason', 'rule'],
    waiting.map((work) => [work.subject, work.reason, failures.describeRule(work.rule)]),
  )
}

function renderList(head: readonly string[], rows: readonly (readonly string[])[]): string {
  return rows.length === 0 ? '' : output.renderTable(head, rows)
}
