/** Model of a run from its assignment to its end: every order of late, repeated and lost messages within a budget. */
import * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as engine from './engine.js'
import * as runWorld from './runWorld.js'

type World = runWorld.RunWorld
type Worker = runWorld.ModelWorker

const { EndKind } = protocol.workflow

/** How often each kind of fault may happen in one trace. */
export interface RunBudget {
  readonly crashes: number
  /** Second copies of orders that had no answer. */
  readonly copies: number
  readonly refusals: number
  readonly lapses: number
  readonly failures: number
  /** Agent processes that are killed and start again. */
  readonly agentRestarts: number
  readonly leaderChanges: number
}

export interface RunScenario {
  readonly name: string
  readonly protection: keyof runWorld.RunGuards
  readonly budget: RunBudget
}

/** One enabled change of the world. */
export interface RunAction {
  readonly text: string
  readonly apply: () => World
}

const JOB = '5c0e7a21d94b36f8'
const WORKER_IDS: readonly string[] = ['v', 'w']

const labelOf = (run: runWorld.TaskRun): string => `${run.step}#${run.run}`

const without = <T>(items: readonly T[], index: number): readonly T[] =>
  items.filter((_, position) => position !== index)

const replaceWorker = (world: World, worker: Worker): World => ({
  ...world,
  workers: world.workers.map((other) => (other.id === worker.id ? worker : other)),
})

const commit = (world: World, body: runWorld.Body): World => ({
  ...world,
  log: [...world.log, body],
})

const isSameRun = (a: runWorld.TaskRun, b: runWorld.TaskRun): boolean =>
  workflowState.runKey(a) === workflowState.runKey(b)

const bar = (worker: Worker, runs: readonly runWorld.TaskRun[]): Worker => {
  const barred = { ...worker.barred }
  for (const run of runs) {
    const key = workflowState.taskKey(run)
    barred[key] = Math.max(barred[key] ?? 0, run.run)
  }
  return {
    ...worker,
    barred,
    running: worker.running.filter((run) => !runs.some((other) => isSameRun(run, other))),
  }
}

const orderTo = (worker: Worker, run: runWorld.TaskRun, uncertain: boolean): runWorld.RunOrder => ({
  run,
  workerId: worker.id,
  lease: worker.lease,
  awaited: true,
  uncertain,
})

/** Runs that the state machine holds for one incarnation. */
const runsHeldBy = (
  view: workflowState.WorkflowView,
  id: string,
  bornMs: number,
): readonly runWorld.TaskRun[] =>
  [...(view.loads.get(workflowState.workerKey({ id, bornMs }))?.runs.values() ?? [])].map(
    ({ step, task }) => ({
      job: step.job.spec.id,
      occurrence: step.occurrence,
      step: step.index,
      index: task.index,
      run: task.run,
    }),
  )

/** Incarnation under which an end of a run is recorded; what a late order did at a later one counts. */
const holderOf = (
  view: workflowState.WorkflowView,
  worker: Worker,
  run: runWorld.TaskRun,
): number => {
  const task = view.jobs.get(run.job)?.occurrences.get(run.occurrence)?.steps[run.step]?.tasks[
    run.index
  ]
  const holder = task?.run === run.run ? task.worker : undefined
  return holder?.id === worker.id && holder.bornMs <= worker.bornMs ? holder.bornMs : worker.bornMs
}

const endsOf = (
  worker: Pick<Worker, 'id'>,
  bornMs: number,
  runs: readonly runWorld.TaskRun[],
  kind: protocol.workflow.EndKind,
): runWorld.Body => ({
  $case: 'ends',
  value: {
    worker: runWorld.identityOf(worker, bornMs),
    ends: runs.map((run) => ({ run, kind, checkpoint: '' })),
  },
})

/** Creates the model of a scenario; without its protection it has a counterexample. */
export const createRunModel = (
  scenario: RunScenario,
  isProtected: boolean,
): engine.Model<World, RunAction> => {
  const { budget } = scenario
  const guards: runWorld.RunGuards = {
    ...runWorld.ALL_GUARDS,
    [scenario.protection]: isProtected,
  }

  const assign = (world: World, view: workflowState.WorkflowView): readonly RunAction[] =>
    [...view.readySteps].flatMap((step) =>
      world.workers.map((worker) => {
        const bornMs = world.known[worker.id] ?? 0
        const place = { job: JOB, occurrence: 0, step: step.index, index: 0, run: 0 }
        const value = {
          workers: [runWorld.describeWorker(worker, bornMs)],
          assignments: [{ task: place, worker: runWorld.identityOf(worker, bornMs) }],
        }
        const apply = (): World => {
          const committed = commit(world, { $case: 'assign', value })
          const outcome = runWorld.replay(world.log).apply({
            nowMs: world.log.length,
            body: { $case: 'assign', value },
          })
          if (outcome.kind !== 'assigned') return committed
          const orders = outcome.accepted.flatMap(({ task }) =>
            task === undefined ? [] : [orderTo(worker, task, false)],
          )
          return { ...committed, orders: [...committed.orders, ...orders] }
        }
        return { text: `step ${step.index} is assigned to ${worker.id}`, apply }
      }),
    )

  const start = (world: World, worker: Worker, order: runWorld.RunOrder): World => {
    const key = workflowState.taskKey(order.run)
    const isStale = order.lease < worker.lease || (worker.barred[key] ?? 0) >= order.run.run
    if (isStale || worker.running.some((run) => isSameRun(run, order.run))) return world
    const startedAgain = world.acknowledged.includes(key)
      ? [...world.startedAgain, key]
      : world.startedAgain
    const started = { ...worker, running: [...worker.running, order.run] }
    return { ...replaceWorker(world, started), startedAgain }
  }

  const deliver = (world: World): readonly RunAction[] =>
    world.orders.flatMap((order, index) => {
      const worker = world.workers.find(({ id }) => id === order.workerId)
      if (worker === undefined) return []
      const label = `order ${labelOf(order.run)} to ${worker.id}`
      const arrived = { ...world, orders: without(world.orders, index) }
      const actions: RunAction[] = [
        { text: `${label} arrives`, apply: () => start(arrived, worker, order) },
      ]
      if (!order.awaited) return actions
      if (world.copies < budget.copies) {
        const copies = world.copies + 1
        const orders = [
          ...arrived.orders,
          { ...order, awaited: false },
          { ...order, uncertain: true },
        ]
        actions.push({
          text: `${label} gets no answer and is sent again`,
          apply: () => ({ ...world, copies, orders }),
        })
      }
      if (world.refusals < budget.refusals) {
        actions.push({
          text: `${label} is refused`,
          apply: () => refuse({ ...arrived, refusals: world.refusals + 1 }, worker, order),
        })
      }
      return actions
    })

  const isReattaching = budget.agentRestarts + budget.leaderChanges > 0

  const refuse = (world: World, worker: Worker, { run, uncertain }: runWorld.RunOrder): World => {
    // The agent looks at a list first: a run that is there, or has ended there, is not refused.
    const isThere = [...worker.running, ...worker.ends.map((listed) => listed.run)]
    if (isThere.some((other) => isSameRun(run, other))) return world
    const barred =
      uncertain && guards.barUncertainOrders ? replaceWorker(world, bar(worker, [run])) : world
    const { bornMs } = worker
    // Without agents that attach again nothing depends on the moment of the commit.
    if (!isReattaching) return commit(barred, endsOf(worker, bornMs, [run], EndKind.REJECTED))
    const rejection = { run, workerId: worker.id, bornMs, reported: true }
    return { ...barred, rejections: [...world.rejections, rejection] }
  }

  const recordRejections = (world: World): readonly RunAction[] =>
    world.rejections.map(({ run, workerId, bornMs }, index) => ({
      text: `the rejection of ${labelOf(run)} by ${workerId} is recorded`,
      apply: () =>
        commit(
          { ...world, rejections: without(world.rejections, index) },
          endsOf({ id: workerId }, bornMs, [run], EndKind.REJECTED),
        ),
    }))

  /** The agent of a worker attaches; the leader repeats the orders for the runs that the worker holds. */
  const reattach = (world: World, worker: Worker): World => {
    const { view } = runWorld.replay(world.log)
    const held = runsHeldBy(view, worker.id, world.known[worker.id] ?? 0)
    const isEnding = (run: runWorld.TaskRun): boolean =>
      guards.skipEndingRuns && world.rejections.some((other) => isSameRun(run, other.run))
    const isAwaited = (run: runWorld.TaskRun): boolean =>
      world.orders.some((order) => order.awaited && isSameRun(run, order.run))
    const repeated = held
      .filter((run) => !isEnding(run) && !isAwaited(run))
      .map((run) => orderTo(worker, run, guards.markRepeatedOrders))
    return { ...world, orders: [...world.orders, ...repeated] }
  }

  const restartAgent = (world: World, worker: Worker): readonly RunAction[] => {
    if (world.agentRestarts >= budget.agentRestarts) return []
    const forgotten = {
      ...world,
      agentRestarts: world.agentRestarts + 1,
      orders: world.orders.map((order) =>
        order.workerId === worker.id ? { ...order, awaited: false } : order,
      ),
      rejections: world.rejections.map((rejection) =>
        rejection.workerId === worker.id ? { ...rejection, reported: false } : rejection,
      ),
    }
    const text = `the agent of ${worker.id} is killed and starts again`
    return [{ text, apply: () => reattach(forgotten, worker) }]
  }

  const changeLeader = (world: World): readonly RunAction[] => {
    if (world.leaderChanges >= budget.leaderChanges) return []
    const changed = {
      ...world,
      leaderChanges: world.leaderChanges + 1,
      rejections: world.rejections.filter(({ reported }) => reported),
    }
    return [{ text: 'the leader changes', apply: () => world.workers.reduce(reattach, changed) }]
  }

  const end = (world: World, worker: Worker): readonly RunAction[] =>
    worker.running.flatMap((run) => {
      const ended = (completed: boolean): World =>
        replaceWorker(world, {
          ...bar(worker, [run]),
          ends: [...worker.ends, { run, completed, lapsed: false }],
        })
      const completes = {
        text: `${labelOf(run)} completes at ${worker.id}`,
        apply: () => ended(true),
      }
      if (world.failures >= budget.failures) return [completes]
      const failures = world.failures + 1
      const fails = {
        text: `${labelOf(run)} fails at ${worker.id}`,
        apply: () => ({ ...ended(false), failures }),
      }
      return [completes, fails]
    })

  /** The worker may forget an end that is acknowledged; without a commit the leader can lose it with its term. */
  const record = (world: World, worker: Worker): readonly RunAction[] => {
    if (worker.ends.length === 0) return []
    const apply = (): World => {
      const { view } = runWorld.replay(world.log)
      const committed = worker.ends
        .map(({ run, completed }) => {
          const kind = completed ? EndKind.COMPLETED : EndKind.FAILED
          return endsOf(worker, holderOf(view, worker, run), [run], kind)
        })
        .reduce(commit, world)
      const noted = guards.commitBeforeAcknowledge ? committed : world
      const certain = worker.ends.filter(({ completed, lapsed }) => completed && !lapsed)
      const acknowledged = [
        ...world.acknowledged,
        ...certain.map(({ run }) => workflowState.taskKey(run)),
      ]
      return replaceWorker({ ...noted, acknowledged }, { ...worker, ends: [] })
    }
    return [{ text: `the ends of ${worker.id} are recorded`, apply }]
  }

  const crash = (world: World, worker: Worker): readonly RunAction[] => {
    if (world.crashes >= budget.crashes) return []
    const reborn = { ...worker, bornMs: worker.bornMs + 1, running: [], ends: [], barred: {} }
    const apply = (): World => replaceWorker({ ...world, crashes: world.crashes + 1 }, reborn)
    return [{ text: `${worker.id} crashes and starts again under its id`, apply }]
  }

  const learn = (
    world: World,
    worker: Worker,
    view: workflowState.WorkflowView,
  ): readonly RunAction[] => {
    const before = world.known[worker.id] ?? 0
    if (before >= worker.bornMs) return []
    const apply = (): World => {
      // A run that a late order completed here is listed as ended and is not reported as stopped.
      const runs = runsHeldBy(view, worker.id, before).filter(
        (run) => !worker.ends.some((listed) => isSameRun(listed.run, run)),
      )
      const barred = guards.barOldIncarnation ? replaceWorker(world, bar(worker, runs)) : world
      const known = { ...world.known, [worker.id]: worker.bornMs }
      return commit({ ...barred, known }, endsOf(worker, before, runs, EndKind.LOST))
    }
    return [{ text: `the leader learns that ${worker.id} started again`, apply }]
  }

  /** A worker that the leader does not hear of: its lease ends by its own clock, and the leader waits longer. */
  const fallSilent = (
    world: World,
    worker: Worker,
    view: workflowState.WorkflowView,
  ): readonly RunAction[] => {
    if (world.lapses >= budget.lapses) return []
    const apply = (): World => {
      const bornMs = world.known[worker.id] ?? 0
      const runs = runsHeldBy(view, worker.id, bornMs)
      const lapsed = guards.waitForLease
        ? {
            ...worker,
            lease: worker.lease + 1,
            running: [],
            ends: worker.ends.map((listed) => ({ ...listed, lapsed: true })),
          }
        : worker
      const silent = replaceWorker({ ...world, lapses: world.lapses + 1 }, lapsed)
      return commit(silent, endsOf(worker, bornMs, runs, EndKind.LOST))
    }
    return [{ text: `${worker.id} is silent and its runs count as lost`, apply }]
  }

  return {
    name: scenario.name,
    initial: [
      {
        log: [runWorld.submitChain(JOB)],
        workers: WORKER_IDS.map((id) => ({
          id,
          bornMs: 1,
          lease: 0,
          running: [],
          ends: [],
          barred: {},
        })),
        known: Object.fromEntries(WORKER_IDS.map((id) => [id, 1])),
        orders: [],
        rejections: [],
        acknowledged: [],
        startedAgain: [],
        crashes: 0,
        copies: 0,
        refusals: 0,
        lapses: 0,
        failures: 0,
        agentRestarts: 0,
        leaderChanges: 0,
      },
    ],
    actions: (world) => {
      const { view } = runWorld.replay(world.log)
      return [
        ...assign(world, view),
        ...deliver(world),
        ...recordRejections(world),
        ...changeLeader(world),
        ...world.workers.flatMap((worker) => [
          ...end(world, worker),
          ...record(world, worker),
          ...crash(world, worker),
          ...restartAgent(world, worker),
          ...learn(world, worker, view),
          ...fallSilent(world, worker, view),
        ]),
      ]
    },
    next: (_, action) => action.apply(),
    key: ({ log, ...rest }) => {
      const state = Buffer.from(runWorld.replay(log).snapshot()).toString('base64')
      return `${state} ${JSON.stringify(rest)}`
    },
    describe: ({ text }) => text,
    invariants: [
      {
        name: 'a task runs in one place',
        check: ({ workers }) => {
          const running = workers.flatMap((worker) => worker.running.map(workflowState.taskKey))
          const twice = running.find((key, index) => running.indexOf(key) !== index)
          return twice && `${twice} runs twice`
        },
      },
      {
        name: 'a completed task does not start again',
        check: ({ startedAgain }) => startedAgain[0] && `${startedAgain[0]} started again`,
      },
      {
        name: 'a worker runs no more than its capacity',
        check: ({ workers }) => {
          const full = workers.find((worker) => worker.running.length > 1)
          return full && `${full.id} runs ${full.running.length} tasks that take all of it`
        },
      },
      {
        name: 'a step waits for those before it',
        check: ({ log, workers }) => {
          const later = workers.some((worker) => worker.running.some(({ step }) => step > 0))
          if (!later) return undefined
          const first = runWorld.replay(log).view.jobs.get(JOB)?.occurrences.get(0)?.steps[0]
          return first?.completedCount === 1 ? undefined : 'step 1 runs before step 0 completed'
        },
      },
    ],
  }
}
