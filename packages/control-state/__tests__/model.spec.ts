import * as fastCheck from 'fast-check'
import * as vitest from 'vitest'
import * as protocol from '@ebonyweir/protocol'
import type * as controlState from '../src/index.js'
import * as support from './support.js'

const { expect, test } = vitest
const { TaskOutcome, ClaimOutcome } = protocol.command

const WORKERS = ['w0', 'w1', 'w2']
const DOMAINS = ['brest', 'rennes']

/** One random step: its index in `STEPS`, and numbers that select jobs, workers and outcomes. */
type Step = readonly [number, number, number, number]

/** Expected state, derived from the outcomes alone. */
interface Model {
  readonly running: Map<string, number>
  readonly completed: Set<string>
  readonly checkpoints: Map<string, string>
  readonly revisions: string[]
  readonly claims: Map<string, string>
}

const ENDS = [TaskOutcome.COMPLETED, TaskOutcome.FAILED, TaskOutcome.EVICTED, TaskOutcome.LOST]

type Log = ReturnType<typeof support.createLog>

const assignStep = (log: Log, model: Model, [, a, b, c]: Step) => {
  const task = c % 5 === 0 ? `service/desk/${b % 4}` : `j${a % 4}/${b % 3}`
  const attempt = log.state.view.task(task)?.attempt ?? 1
  const worker = WORKERS[c % 3] ?? ''
  const checkpoint = log.state.view.task(task)?.checkpoint ?? ''
  const refusal = log.assign(task, worker, attempt, log.state.view.worker(worker)?.incarnation ?? 1)
  if (refusal !== undefined) return
  // A running or completed task must not be assigned again.
  expect(model.running.has(task)).toBe(false)
  expect(model.completed.has(task)).toBe(false)
  expect(checkpoint).toBe(model.checkpoints.get(task) ?? '')
  model.running.set(task, attempt)
}

const endStep = (log: Log, model: Model, [, a, b, c]: Step) => {
  const task = c % 5 === 0 ? `service/desk/${b % 4}` : `j${a % 4}/${b % 3}`
  const attempt = Math.max(1, (log.state.view.task(task)?.attempt ?? 1) - (c % 2))
  const outcome = ENDS[c % 4] ?? TaskOutcome.LOST
  const checkpoint = outcome === TaskOutcome.EVICTED ? `cp${c}` : ''
  const result = log.end(task, attempt, outcome, checkpoint)
  expect(result).toBe(model.running.get(task) === attempt ? 'ended' : 'stale')
  if (result !== 'ended') return
  model.running.delete(task)
  if (checkpoint !== '') model.checkpoints.set(task, checkpoint)
  if (outcome === TaskOutcome.COMPLETED && !task.startsWith('service/')) model.completed.add(task)
}

const workerStep = (log: Log, model: Model, [, a, b]: Step) => {
  const worker = WORKERS[a % 3] ?? ''
  const known = log.state.view.worker(worker)?.incarnation ?? 0
  const change = { incarnation: known + (b % 2), failureDomain: DOMAINS[a % 2] ?? '' }
  const outcome = log.worker(worker, change)
  if (outcome.kind !== 'workerRegistered') return
  for (const { task, attempt } of outcome.lost) {
    expect(model.running.get(task)).toBe(attempt)
    model.running.delete(task)
  }
}

const rulesStep = (log: Log, model: Model, [, a, b, c]: Step) => {
  const expected = a % (model.revisions.length + 1)
  const rules = { out: c % 3 === 0 ? ['brest'] : [], services: { desk: b % 3 } }
  const outcome = log.rules(expected, rules, `operator ${b % 2}`)
  const digest = JSON.stringify([rules, b % 2])
  if (expected === model.revisions.length) {
    expect(outcome).toEqual({ kind: 'rulesAccepted', revision: expected + 1, resent: false })
    model.revisions.push(digest)
    return
  }
  const same = model.revisions[expected] === digest
  expect(outcome.kind).toBe(same ? 'rulesAccepted' : 'rulesConflict')
}

const claimStep = (log: Log, model: Model, [, a, b, c]: Step) => {
  const key = { service: 's', caller: 'c', key: `k${a % 2}` }
  const requestId = `r${b}`
  const value = { ...key, requestId, digest: 'd', entry: 'e' }
  const outcome = log.run({ $case: 'claimRequest', value })
  const state = outcome.kind === 'claim' ? outcome.state : undefined
  const holder = model.claims.get(key.key) ?? requestId
  const settled = log.state.view.claim('s', 'c', key.key)?.outcome !== undefined
  // Only one request id is granted until a "not run" settlement frees the claim.
  if (state === protocol.control.ClaimState.GRANTED) expect(requestId).toBe(holder)
  if (!settled && requestId === holder) expect(state).toBe(protocol.control.ClaimState.GRANTED)
  model.claims.set(key.key, holder)
  const settlement = [ClaimOutcome.NOT_RUN, ClaimOutcome.ANSWERED, ClaimOutcome.UNKNOWN][c % 3]
  if (settlement === undefined || c % 4 !== 0) return
  const agent = { agent: 'a', agentAddress: '127.0.0.1:1', agentIncarnation: 1 }
  const settle = { ...key, ...agent, requestId, outcome: settlement, answerStatus: 200 }
  const result = log.run({ $case: 'settleClaim', value: settle })
  if (result.kind === 'claimSettled' && result.result === 'freed') model.claims.delete(key.key)
}

const submitStep = (log: Log, _model: Model, [, a]: Step) => {
  log.submit(`j${a % 4}`, {
    tasks: 3,
    resources: { cpuMillis: 1500, memoryMb: 100, accelerators: 0 },
  })
}

const cancelStep = (log: Log, _model: Model, [, a, b]: Step) => {
  if (b % 8 === 0)
    log.run({ $case: 'cancelJobs', value: { jobs: [`j${a % 4}`], operator: 'Yann Le Goff' } })
}

const STEPS = [
  submitStep,
  assignStep,
  assignStep,
  assignStep,
  endStep,
  endStep,
  workerStep,
  rulesStep,
  claimStep,
  cancelStep,
]

const checkWorkers = (view: controlState.ControlView) => {
  const seen = new Set<string>()
  for (const worker of view.workers()) {
    let used = 0
    for (const task of worker.tasks.values()) {
      used += task.resources.cpuMillis
      expect(seen.has(task.task)).toBe(false)
      seen.add(task.task)
      expect(task.workerIncarnation).toBe(worker.incarnation)
    }
    expect(worker.free.cpuMillis).toBe(worker.capacity.cpuMillis - used)
    expect(Math.min(worker.free.cpuMillis, worker.free.memoryMb)).toBeGreaterThanOrEqual(0)
  }
  return seen
}

const checkServices = (view: controlState.ControlView) => {
  for (const service of view.services()) {
    const counted = [...service.tasks.values()].filter((task) => {
      const worker = view.worker(task.worker)
      return worker && !view.isOut(worker.failureDomain) && !view.stopping().has(task)
    })
    expect(service.activeRunners).toBe(counted.length)
  }
}

// Guards against command sequences that overcommit a worker, run a task twice, lose a checkpoint,
// answer a resend differently, or depend on state that is missing from snapshots.
test('random commands preserve all invariants, also across restores', () => {
  const number = fastCheck.nat(999)
  const step = fastCheck.tuple(fastCheck.nat(STEPS.length - 1), number, number, number)
  const property = fastCheck.property(
    fastCheck.array(step, { minLength: 50, maxLength: 250 }),
    (steps) => {
      let log = support.createLog()
      const model: Model = {
        running: new Map(),
        completed: new Set(),
        checkpoints: new Map(),
        revisions: [],
        claims: new Map(),
      }
      steps.forEach((current, index) => {
        STEPS[current[0]]?.(log, model, current)
        if (index % 40 === 39) {
          const before = Buffer.from(log.state.snapshot())
          log = log.restart()
          expect(Buffer.from(log.state.snapshot()).equals(before)).toBe(true)
        }
        expect(checkWorkers(log.state.view)).toEqual(new Set(model.running.keys()))
        checkServices(log.state.view)
      })
    },
  )
  fastCheck.assert(property, { seed: 4411, numRuns: 100, endOnFailure: true })
})
