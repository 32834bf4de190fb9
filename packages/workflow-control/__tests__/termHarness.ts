import * as protocol from '@ebonyweir/protocol'
import * as telemetry from '@ebonyweir/telemetry/logger'
import * as workflowState from '@ebonyweir/workflow-state'
import * as results from 'ts-results-es'
import * as vitest from 'vitest'
import type * as context from '../src/context.js'
import * as leaderTerm from '../src/leaderTerm.js'
import * as schedulingOptions from '../src/schedulingOptions.js'
import * as timing from '../src/timing.js'
import * as workStatistics from '../src/workStatistics.js'
import type * as workerSession from '../src/workerSession.js'

export const LEASE_MS = 6_000

const LIST_MS = 400

export interface Agent {
  readonly orders: protocol.workflow.WorkerOrders[]
  readonly ended: boolean
  readonly starts: () => readonly string[]
  /** Start orders that were marked as repeated. */
  readonly repeatedStarts: () => readonly string[]
  readonly stops: () => readonly string[]
  /** Start orders that were withdrawn. */
  readonly withdrawals: () => readonly string[]
  /** Sends a report with a new run list; `running` holds run keys such as "j.0.0.0#1". */
  readonly report: (fields?: ReportFields) => void
  /** Sends reports for `forMs` milliseconds with all started runs as running. */
  readonly live: (forMs: number, fields?: ReportFields) => void
}

export interface ReportFields {
  readonly id?: string
  readonly bornMs?: number
  readonly running?: readonly string[]
  readonly percent?: number
  /** Progress of single runs, by run key; `percent` for the others. */
  readonly percents?: Readonly<Record<string, number>>
  readonly ended?: readonly (readonly [number, string, protocol.workflow.EndKind])[]
  /** Whether the worker may hold ends after the listed ones. */
  readonly hasMoreEnds?: boolean
  readonly rejected?: readonly (readonly [string, protocol.workflow.RejectionReason])[]
  readonly draining?: boolean
  readonly drainRemainingMs?: number
  /** Whether the report carries no new run list. */
  readonly stale?: boolean
  /** Whether the worker has not listed its runs as this incarnation yet. */
  readonly unlisted?: boolean
  /** @default 'r1' */
  readonly rack?: string
  /** @default 4000 */
  readonly cpuMillis?: number
}

export const parseRun = (key: string): protocol.workflow.TaskRun => {
  const [task = '', run = '0'] = key.split('#')
  const [job = '', occurrence = '0', step = '0', index = '0'] = task.split('.')
  return {
    job,
    occurrence: Number(occurrence),
    step: Number(step),
    index: Number(index),
    run: Number(run),
  }
}

/** Log line of the leader. */
export interface LogLine extends telemetry.LogFields {
  readonly message: string
}

/** Proposal that is pending until the test commits or fails it. */
export interface HeldCommit {
  readonly body: context.CommandBody | undefined
  readonly commit: () => void
  /** Makes the replica refuse the proposal and remain leader. */
  readonly fail: () => void
}

/** Leader's term over a state machine that commits immediately, with a clock that the test advances. */
export const createTermHarness = (
  schedulingFields: Partial<schedulingOptions.SchedulingOptions> = {},
) => {
  vitest.vi.useFakeTimers()
  const state = workflowState.createWorkflowState()
  const logs: LogLine[] = []
  const log = (message: string, fields: telemetry.LogFields = {}): void => {
    logs.push({ ...fields, message })
  }
  const logger: telemetry.Logger = { debug: log, info: log, warn: log, error: log }
  const control = {
    leading: true,
    commits: true,
    /** Whether proposals are added to `held` instead of being committed. */
    holds: false,
    /** Commits wait for this promise. */
    gate: Promise.resolve(),
    /** Whether proposals are refused as overloaded, certainly without effect. */
    overloaded: false,
    /** Called after each commit, before its outcome is known to the term. */
    proposed: (): void => undefined,
  }
  const held: HeldCommit[] = []
  let frozenMs = 0
  const nowMs = (): number => performance.now() + frozenMs
  const ctx: context.ControlContext = {
    options: {
      cell: 'test',
      name: 'control',
      failureDomain: 'rennes',
      grpcAddress: '127.0.0.1:1',
      dataFolder: '',
      seeds: () => [],
      mayForm: false,
      toleratedLosses: 1,
      timing: timing.resolveTiming({ maxLeaseMs: LEASE_MS }).unwrap(),
      statusRetentionMs: 120_000,
      logger,
      scheduling: { ...schedulingOptions.DEFAULT_SCHEDULING_OPTIONS, ...schedulingFields },
    },
    replica: {} as context.ControlContext['replica'],
    view: state.view,
    nowMs,
    leadingTerm: () => (control.leading ? term.term : undefined),
    propose: async (body) => {
      await control.gate
      if (control.overloaded) return results.Err({ kind: 'overloaded', detail: '' })
      if (!control.commits) return results.Err({ kind: 'unknown', leader: undefined })
      const apply = () => {
        const outcome = state.apply({ nowMs: Date.now(), body })
        control.proposed()
        return results.Ok(outcome)
      }
      if (!control.holds) return apply()
      return new Promise((resolve) => {
        held.push({
          body,
          commit: () => {
            resolve(apply())
          },
          fail: () => {
            resolve(results.Err({ kind: 'overloaded', detail: 'refused by the test' }))
          },
        })
      })
    },
    work: workStatistics.createWorkStatistics(nowMs),
    hint: () => ({ leader: '', members: [] }),
  }
  let term = leaderTerm.createLeaderTerm(ctx, 7)

  const attach = (name: string): Agent => {
    const orders: protocol.workflow.WorkerOrders[] = []
    let ended = false
    let sequence = 0
    let sample = 0
    const session: workerSession.WorkerSession = term.attach(name, {
      send: (order) => orders.push(order),
      end: () => {
        ended = true
      },
    })
    const keysOf = (runs: readonly (protocol.workflow.TaskRun | undefined)[]) =>
      runs.flatMap((run) => (run ? [workflowState.runKey(run)] : []))
    const starts = () => keysOf(orders.flatMap((order) => order.starts.map(({ run }) => run)))
    const repeatedStarts = () =>
      keysOf(orders.flatMap(({ starts: all }) => all.filter((o) => o.repeated).map((o) => o.run)))
    const stops = () => keysOf(orders.flatMap((order) => order.stops))
    const withdrawals = () => keysOf(orders.flatMap((order) => order.withdrawals))
    const report: Agent['report'] = (fields = {}) => {
      sequence += 1
      if (fields.stale !== true) sample += 1
      term.handleReport(session, {
        cell: 'test',
        agent: name,
        sequence,
        worker: {
          identity: { id: fields.id ?? name, bornMs: fields.bornMs ?? 1, agent: name },
          service: 'desk',
          failureDomain: 'rennes',
          rack: fields.rack ?? 'r1',
          labels: ['a', 'r1'],
          capacity: { cpuMillis: fields.cpuMillis ?? 4_000, memoryMb: 1_000, accelerators: 0 },
        },
        draining: fields.draining ?? false,
        drainRemainingMs: fields.drainRemainingMs ?? 0,
        clockMs: Math.round(nowMs()),
        sample: fields.unlisted === true ? 0 : sample,
        running: (fields.running ?? []).map((key) => ({
          run: parseRun(key),
          checkpoint: '',
          progressPercent: fields.percents?.[key] ?? fields.percent ?? 0,
          figure: 0,
          pacePercent: 100,
        })),
        ended: (fields.ended ?? []).map(([number, key, kind]) => ({
          number,
          end: { run: parseRun(key), kind, checkpoint: '' },
        })),
        rejected: (fields.rejected ?? []).map(([key, reason]) => ({
          run: parseRun(key),
          reason,
        })),
        hasMoreEnds: fields.hasMoreEnds ?? false,
      })
    }
    return {
      orders,
      get ended() {
        return ended
      },
      starts,
      repeatedStarts,
      stops,
      withdrawals,
      report,
      live: (forMs, fields = {}) => {
        for (let passedMs = 0; passedMs < forMs; passedMs += LIST_MS) {
          report({ running: starts(), ...fields })
          vitest.vi.advanceTimersByTime(LIST_MS)
        }
      },
    }
  }

  return {
    ctx,
    state,
    view: state.view,
    control,
    held,
    logs,
    /** Creates the term of a new leader over the same state. */
    nextTerm: () => leaderTerm.createLeaderTerm(ctx, term.term + 1),
    work: ctx.work,
    get term() {
      return term
    },
    /** Ends the term; a new leader, which knows the replicated state only, begins the next one. */
    changeLeader: (): void => {
      term.stop()
      term = leaderTerm.createLeaderTerm(ctx, term.term + 1)
    },
    attach,
    submit: (
      id: string,
      steps: readonly Partial<protocol.workflow.Step>[],
      maxAttempts = 3,
    ): void => {
      const spec: protocol.workflow.JobSpec = {
        ...protocol.workflow.JobSpec.fromPartial({ id }),
        steps: steps.map((step) => ({
          ...protocol.workflow.Step.fromPartial({ taskCount: 1, estimatedMs: 1_000 }),
          claim: { cpuMillis: 1_000, memoryMb: 10, accelerators: 0 },
          ...step,
        })),
      }
      const queue = protocol.workflow.Queue.fromPartial({
        name: 'quotes',
        service: 'desk',
        maxAttempts,
        slackFactor: 2,
      })
      state.apply({
        nowMs: Date.now(),
        body: { $case: 'submit', value: { spec, queue, callerDomain: '' } },
      })
      term.dispatch()
    },
    apply: (body: context.CommandBody) => state.apply({ nowMs: Date.now(), body }),
    /** Freezes the process: the clock advances without any timer running. */
    freeze: (ms: number): void => {
      frozenMs += ms
    },
    /** Advances time by `ms` milliseconds and runs timers and promises. */
    pass: (ms: number): Promise<unknown> => vitest.vi.advanceTimersByTimeAsync(ms),
    task: (key: string): workflowState.TaskView | undefined => {
      const { job, occurrence, step, index } = parseRun(key)
      return state.view.jobs.get(job)?.occurrences.get(occurrence)?.steps[step]?.tasks[index]
    },
    close: (): void => {
      term.stop()
      vitest.vi.useRealTimers()
    },
  }
}
