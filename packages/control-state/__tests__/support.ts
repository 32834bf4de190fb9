import * as protocol from '@ebonyweir/protocol'
import * as result from 'ts-results-es'
import * as controlState from '../src/index.js'

type Body = NonNullable<protocol.command.Command['body']>

/** Rules for tests, as JSON: only the parts of a rule set that a test needs. */
interface TestRules {
  readonly out?: readonly string[]
  readonly services?: Readonly<Record<string, number>>
  readonly teams?: Readonly<Record<string, number>>
  readonly fitting?: readonly string[]
  readonly guarded?: string
}

const source = (key: string) => ({ key, line: 1, requestedBy: 'Yann Le Goff' })
const resources = (cpuMillis: number) => ({ cpuMillis, memoryMb: 1024 * 1024, accelerators: 100 })

const toRuleSet = (rules: TestRules): controlState.RuleSet => ({
  records: Object.entries(rules).map(([key, value]) => ({
    ...source(key),
    body: JSON.stringify(value),
  })),
  services: new Map(
    Object.entries(rules.services ?? {}).map(([name, runners]) => [
      name,
      {
        ...source(`service.${name}`),
        runners,
        resources: { cpuMillis: 1000, memoryMb: 1000, accelerators: 0 },
        targetMs: 80,
      },
    ]),
  ),
  teams: new Map(
    Object.entries(rules.teams ?? {}).map(([name, cpuMillis]) => [
      name,
      { ...source(`team.${name}`), quota: resources(cpuMillis), weight: 1 },
    ]),
  ),
  placements: (rules.fitting === undefined ? [] : [rules.fitting]).map((failureDomains) => ({
    ...source('placement.fitting'),
    match: 'fitting-*',
    failureDomains,
    spread: 'rack' as const,
  })),
  failureDomains: new Map(
    (rules.out ?? []).map((name) => [
      name,
      { ...source(`failureDomain.${name}`), state: 'out' as const },
    ]),
  ),
  guards: new Map(
    (rules.guarded === undefined ? [] : [rules.guarded]).map((name) => [
      name,
      { ...source(`guard.${name}`), maxSlowdown: 1.2, throttleFloorPercent: 25 },
    ]),
  ),
  weighting: { throughput: 0.5, evictions: 0.5, tail: 0.5 },
})

export const parseRules: controlState.ParseRules = (text) => {
  try {
    return result.Ok(toRuleSet(JSON.parse(text) as TestRules))
  } catch {
    return result.Err([{ line: 1, message: 'not readable' }])
  }
}

export const createState = () => controlState.createControlState({ parseRules })

/** Applies commands in order, with increasing log index and time. */
export const createLog = (state = createState()) => {
  const run = (body: Body, nowMs = state.view.logTimeMs() + 1): controlState.Outcome =>
    state.apply({ nowMs, body }, state.view.appliedIndex() + 1)
  return {
    state,
    run,
    rules: (expectedRevision: number, rules: TestRules, operator = 'Yann Le Goff') =>
      run({
        $case: 'applyRules',
        value: { expectedRevision, operator, text: JSON.stringify(rules) },
      }),
    submit: (job: string, change: Partial<protocol.command.SubmitJob> = {}) =>
      run({
        $case: 'submitJob',
        value: {
          job,
          team: 'workshop',
          kind: 'fitting-plan',
          tasks: 1,
          resources: { cpuMillis: 1000, memoryMb: 1000, accelerators: 0 },
          urgent: false,
          declaredRunMs: 1000,
          maxFailures: 0,
          command: '',
          submittedBy: '',
          ...change,
        },
      }),
    worker: (worker: string, change: Partial<protocol.command.RegisterWorker> = {}) =>
      run({
        $case: 'registerWorker',
        value: {
          worker,
          incarnation: 1,
          capacity: { cpuMillis: 4000, memoryMb: 8000, accelerators: 1 },
          rack: 'r1',
          failureDomain: 'brest',
          ...change,
        },
      }),
    assign: (task: string, worker: string, attempt = 1, workerIncarnation = 1) => {
      const assigned = run({
        $case: 'assignTasks',
        value: { assignments: [{ task, attempt, worker, workerIncarnation }] },
      })
      return assigned.kind === 'tasksAssigned' ? assigned.results[0]?.refusal : undefined
    },
    end: (
      task: string,
      attempt: number,
      outcome: protocol.command.TaskOutcome,
      checkpoint = '',
    ) => {
      const ended = run({
        $case: 'endTasks',
        value: { ends: [{ task, attempt, outcome, checkpoint, reason: '' }] },
      })
      return ended.kind === 'tasksEnded' ? ended.results[0]?.result : undefined
    },
    restart: () => {
      const next = createState()
      next.restore(state.snapshot()).unwrap()
      return createLog(next)
    },
  }
}
