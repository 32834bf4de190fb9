/** `ebonyweir job …`: submits, shows, lists and cancels jobs. */
import type * as protocol from '@ebonyweir/protocol'
import * as clipanion from 'clipanion'
import * as results from 'ts-results-es'

import * as baseCommand from '../baseCommand.js'
import * as failures from '../failure.js'
import * as numbers from '../numbers.js'
import * as output from '../output.js'

const CATEGORY = 'Jobs'
const TERMINAL_STATES: ReadonlySet<protocol.operatorApi.JobState> = new Set([
  'completed',
  'failed',
  'cancelled',
])

export class JobSubmitCommand extends baseCommand.BaseCommand {
  static override paths = [['job', 'submit']]

  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'Submit a batch job',
    details: `
      Submission is idempotent by job name: the same content again changes nothing, other content is
      refused. After a lost answer, run the same command again. Resources and run time apply to each
      task.

      Exit codes: 0 accepted, 1 refused, 2 usage, 3 the name has other content, 4 unreachable (not submitted),
      5 unknown outcome.
    `,
    examples: [
      [
        'A fitting plan of 12 tasks',
        'ebonyweir job submit fitting-0917 --team workshop --kind fitting-plan --tasks 12 --cpu-millis 2000 --memory-mb 4096 --run-ms 60000 --by "Yann Le Goff"',
      ],
    ],
  })

  job = clipanion.Option.String({ name: 'JOB' })
  team = clipanion.Option.String('--team', {
    required: true,
    description: 'Team whose quota the job uses',
  })
  kind = clipanion.Option.String('--kind', {
    required: true,
    description: 'Kind of work, for placement rules and the interference model',
  })
  tasks = clipanion.Option.String('--tasks', '1', { description: 'Number of tasks (default: 1)' })
  cpuMillis = clipanion.Option.String('--cpu-millis', {
    required: true,
    description: 'CPU, in thousandths of a core',
  })
  memoryMb = clipanion.Option.String('--memory-mb', {
    required: true,
    description: 'Memory, in MiB',
  })
  accelerators = clipanion.Option.String('--accelerators', '0', { description: 'Accelerators' })
  urgent = clipanion.Option.Boolean('--urgent', false, { description: 'Start within 10 s' })
  runMs = clipanion.Option.String('--run-ms', '60000', {
    description: 'Expected run time, in milliseconds (default: 60000)',
  })
  maxFailures = clipanion.Option.String('--max-failures', '3', {
    description: 'Failed attempts of a single task after which the job fails (default: 3)',
  })
  command = clipanion.Option.String('--command', '', { description: 'Command for the worker' })
  by = clipanion.Option.String('--by', { description: 'Who submits it' })

  override async run(): Promise<baseCommand.CommandResult> {
    const submittedBy = this.resolveOperator(this.by)
    if (submittedBy.isErr()) return submittedBy
    const sizes = numbers.readWholeNumbers({
      tasks: this.tasks,
      'cpu-millis': this.cpuMillis,
      'memory-mb': this.memoryMb,
      accelerators: this.accelerators,
      'run-ms': this.runMs,
      'max-failures': this.maxFailures,
    })
    if (sizes.isErr()) return sizes
    const size = sizes.value
    const body: protocol.operatorApi.SubmitJobRequest = {
      job: this.job,
      team: this.team,
      kind: this.kind,
      tasks: size.tasks,
      resources: {
        cpuMillis: size['cpu-millis'],
        memoryMb: size['memory-mb'],
        accelerators: size.accelerators,
      },
      urgent: this.urgent,
      declaredRunMs: size['run-ms'],
      maxFailures: size['max-failures'],
      command: this.command,
      submittedBy: submittedBy.value,
    }
    const submitted = await this.call<protocol.operatorApi.JobSummary>({
      method: 'POST',
      path: '/v1/jobs',
      body,
    })
    return submitted.map((answer) => ({
      json: answer,
      text: `accepted: ${answer.job}, ${answer.tasks} tasks, ${answer.state}\n`,
    }))
  }
}

export class JobStatusCommand extends baseCommand.BaseCommand {
  static override paths = [['job', 'status']]

  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'Show a job and its tasks',
    details: `
      With --wait the command returns when the job has ended, or after --timeout-ms with exit code 1.

      Exit codes: 0 shown (with --wait: completed), 1 unknown job, failed or not ended in time, 4 unreachable.
    `,
    examples: [
      ['Wait for the end', 'ebonyweir job status fitting-0917 --wait --timeout-ms 600000'],
    ],
  })

  job = clipanion.Option.String({ name: 'JOB' })

  wait = clipanion.Option.Boolean('--wait', false, { description: 'Wait until it has ended' })

  override async run(): Promise<baseCommand.CommandResult> {
    let last = ''
    if (!this.wait) return (await this.readJob()).map(createJobOutput)
    return this.waitFor(
      async () => {
        const job = await this.readJob()
        if (job.isErr()) return job
        last = `${job.value.job} is ${job.value.state}`
        if (!TERMINAL_STATES.has(job.value.state)) return undefined
        if (job.value.state === 'completed') return results.Ok(createJobOutput(job.value))
        const failure = failures.createFailure('refused', last, [job.value.reason])
        return results.Err({ ...failure, body: job.value })
      },
      () => last,
    )
  }

  private readJob(): Promise<results.Result<protocol.operatorApi.JobAnswer, failures.Failure>> {
    return this.call<protocol.operatorApi.JobAnswer>({
      method: 'GET',
      path: `/v1/jobs/${encodeURIComponent(this.job)}`,
    })
  }
}

export class JobListCommand extends baseCommand.BaseCommand {
  static override paths = [['job', 'list']]

  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'List jobs',
    examples: [['Waiting jobs', 'ebonyweir job list --state waiting']],
  })

  state = clipanion.Option.String('--state', {
    description: 'List only jobs that are waiting, running, completed, failed or cancelled',
  })

  override async run(): Promise<baseCommand.CommandResult> {
    const listed = await this.call<protocol.operatorApi.JobsAnswer>({
      method: 'GET',
      path: '/v1/jobs',
    })
    return listed.map((answer) => {
      const jobs = answer.jobs.filter((job) => this.state === undefined || job.state === this.state)
      return { json: { jobs }, text: renderJobs(jobs) }
    })
  }
}

export class JobCancelCommand extends baseCommand.BaseCommand {
  static override paths = [['job', 'cancel']]

  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'Cancel jobs, many at once',
    details: `
      Cancels all given jobs in one change. A job that has ended is left unchanged.

      Exit codes: 0 done, 1 refused or a job is unknown, 4 unreachable (nothing cancelled), 5 unknown outcome.
    `,
    examples: [['Cancel two jobs', 'ebonyweir job cancel fitting-0917 fitting-0918 --by Yann']],
  })

  jobs = clipanion.Option.Rest({ required: 1, name: 'JOB' })

  by = clipanion.Option.String('--by', { description: 'Who cancels them' })

  override async run(): Promise<baseCommand.CommandResult> {
    const operator = this.resolveOperator(this.by)
    if (operator.isErr()) return operator
    const body: protocol.operatorApi.CancelJobsRequest = {
      jobs: this.jobs,
      operator: operator.value,
    }
    const cancelled = await this.call<protocol.operatorApi.CancelJobsAnswer>({
      method: 'POST',
      path: '/v1/jobs/cancel',
      body,
    })
    if (cancelled.isErr()) return cancelled
    const lines = cancelled.value.results.map(({ job, result }) => `${job}: ${result}`)
    const unknown = cancelled.value.results.filter(({ result }) => result === 'unknown-job')
    if (unknown.length === 0) {
      return results.Ok({ json: cancelled.value, text: `${lines.join('\n')}\n` })
    }
    const failure = failures.createFailure('refused', `${unknown.length} unknown jobs`, lines)
    return results.Err({ ...failure, body: cancelled.value })
  }
}

function createJobOutput(job: protocol.operatorApi.JobAnswer): baseCommand.CommandOutput {
  const cause = job.rule === undefined ? '' : ` because of ${failures.describeRule(job.rule)}`
  const reason = job.reason === '' ? '' : `  ${job.reason}${cause}\n`
  const rows = job.taskStates.map((task) => [
    task.task,
    task.state,
    String(task.attempt),
    task.worker,
    String(task.evictions),
    String(task.failures),
    task.checkpoint,
  ])
  const head = ['task', 'state', 'attempt', 'worker', 'evictions', 'failures', 'checkpoint']
  const summary = `${job.job}: ${job.state}, ${job.completedTasks} of ${job.tasks} tasks completed\n`
  return { json: job, text: `${summary}${reason}${output.renderTable(head, rows)}` }
}

function renderJobs(jobs: readonly protocol.operatorApi.JobSummary[]): string {
  if (jobs.length === 0) return 'no jobs\n'
  return output.renderTable(
    ['job', 'team', 'kind', 'state', 'completed', 'running', 'submitted by', 'reason'],
    jobs.map((job) => [
      job.job,
      job.team,
      job.kind,
      job.state,
      `${job.completedTasks}/${job.tasks}`,
      String(job.runningTasks),
      job.submittedBy,
      job.reason,
    ]),
  )
}
