import type * as controlState from '@ebonyweir/control-state'
import * as protocol from '@ebonyweir/protocol'
import * as support from '../../control-state/__tests__/support.js'
import * as scheduling from '../src/index.js'

/** Seeded random numbers from 0 (inclusive) to 1 (exclusive). */
const createRandom = (seed: number): scheduling.Random => {
  let state = seed
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32
    return state / 2 ** 32
  }
}

interface TickOptions {
  /** Tail latency of every service on the worker. */
  readonly p99Ms?: (worker: controlState.WorkerView) => number
  readonly unresponsive?: readonly string[]
}

/** A control state and a scheduler whose decisions take effect immediately. */
export const createWorld = (parts: Partial<scheduling.PolicyParts> = {}) => {
  const log = support.createLog()
  const scheduler = scheduling.createScheduler({ random: createRandom(7), parts })
  let nowMs = 0

  const reportOf = (
    worker: controlState.WorkerView,
    throttles: ReadonlyMap<string, number>,
    { p99Ms }: TickOptions,
  ): scheduling.WorkerReport => {
    const tasks = [...worker.tasks.values()]
    const services = new Set(tasks.filter((t) => t.kind === 'service').map((t) => t.owner))
    return {
      worker: worker.worker,
      incarnation: worker.incarnation,
      receivedAtMs: nowMs,
      running: tasks.map(({ task, attempt, resources }) => ({
        task,
        attempt,
        usage: resources,
        usageAtMs: nowMs,
        cpuPercent: throttles.get(task) ?? 100,
        progressUnits: nowMs,
      })),
      services: [...services].map((service) => ({
        service,
        p99Ms: p99Ms?.(worker) ?? 10,
        atMs: nowMs,
      })),
    }
  }

  let last: scheduling.Decision | undefined

  /** Sends reports, makes one decision and applies its assignments, stops and evictions. */
  const tick = (options: TickOptions = {}, stepMs = 1000): scheduling.Decision => {
    nowMs += stepMs
    const throttles = new Map(last?.throttles.map((t) => [t.task, t.cpuPercent]))
    const reports = [...log.state.view.workers()]
      .filter(({ worker }) => !options.unresponsive?.includes(worker))
      .map((worker) => reportOf(worker, throttles, options))
    const decision = scheduler.decide(log.state.view, { reports, assigning: false }, nowMs)
    last = decision
    const { CANCELLED, EVICTED } = protocol.command.TaskOutcome
    for (const { task, attempt } of decision.stops) log.end(task, attempt, CANCELLED)
    for (const { task, attempt } of decision.evictions) log.end(task, attempt, EVICTED, 'cp')
    log.run({ $case: 'assignTasks', value: { assignments: decision.assignments } }, nowMs)
    return decision
  }

  return { ...log, view: log.state.view, tick }
}

export type World = ReturnType<typeof createWorld>
