/** Model of a run from its assignment to its end: every order of late, repeated and lost messages within a budget. */
import * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as engine from './engine.js'
import * as runSteps from './runSteps.js'
import * as runStreams from './runStreams.js'
import * as runWorld from './runWorld.js'

type World = runWorld.RunWorld
type Worker = runWorld.ModelWorker

const { EndKind } = protocol.workflow
const { commit, endsOf, isSameRun, labelOf, replaceWorker, runsHeldBy } = runSteps

const JOB = '5c0e7a21d94b36f8'
const WORKER_IDS: readonly string[] = ['v', 'w']

/** Creates the model of a scenario; without its protection it has a counterexample. */
export const createRunModel = (
  scenario: runSteps.RunScenario,
  isProtected: boolean,
): engine.Model<World, runSteps.RunAction> => {
  const { budget, hasStreams = false } = scenario
  const guards: runWorld.RunGuards = {
    ...runWorld.ALL_GUARDS,
    [scenario.protection]: isProtected,
  }

  const isReached =
    (world: World) =>
    (worker: Worker): boolean =>
      !hasStreams || runSteps.isAttached(world, worker)

  const assign = (world: World, view: workflowState.WorkflowView): readonly runSteps.RunAction[] =>
    [...view.readySteps].flatMap((step) =>
      world.workers.filter(isReached(world)).map((worker) => {
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
          return outcome.accepted
            .flatMap(({ task: run }) => (run === undefined ? [] : [{ run, uncertain: false }]))
            .reduce((sending, order) => streams.send(sending, worker, order), committed)
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
    const startedCancelled = order.afterCancel
      ? [...world.startedCancelled, key]
      : world.startedCancelled
    const started = { ...worker, running: [...worker.running, order.run] }
    return { ...replaceWorker(world, started), startedAgain, startedCancelled }
  }

  const deliver = (world: World): readonly runSteps.RunAction[] =>
    world.orders.flatMap((order, index) => {
      const worker = world.workers.find(({ id }) => id === order.workerId)
      if (worker === undefined || order.stage !== 'given') return []
      const label = `order ${labelOf(order.run)} to ${worker.id}`
      const arrived = { ...world, orders: runSteps.without(world.orders, index) }
      const actions: runSteps.RunAction[] = [
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
      uncertain && guards.barUncertainOrders
        ? replaceWorker(world, runSteps.bar(worker, [run]))
        : world
    return reject(barred, worker, run)
  }

  const reject = (world: World, worker: Worker, run: runWorld.TaskRun): World => {
    const { bornMs } = worker
    // Without agents that attach again nothing depends on the moment of the commit.
    if (!isReattaching) return commit(world, endsOf(worker, bornMs, [run], EndKind.REJECTED))
    const rejection = { run, workerId: worker.id, bornMs, reported: true }
    return { ...world, rejections: [...world.rejections, rejection] }
  }

  const recordRejections = (world: World): readonly runSteps.RunAction[] =>
    world.rejections.map(({ run, workerId, bornMs }, index) => ({
      text: `the rejection of ${labelOf(run)} by ${workerId} is recorded`,
      apply: () => {
        const rejections = runSteps.without(world.rejections, index)
        const settled = streams.settleRejection({ ...world, rejections }, { id: workerId }, run)
        return commit(settled, endsOf({ id: workerId }, bornMs, [run], EndKind.REJECTED))
      },
    }))

  /** The agent of a worker attaches; the leader repeats the orders for the runs that the worker holds. */
  const repeatOrders = (world: World, worker: Worker): World => {
    const view = runSteps.viewOf(world)
    const held = runsHeldBy(view, worker.id, world.known[worker.id] ?? 0)
    const isEnding = (run: runWorld.TaskRun): boolean =>
      guards.skipEndingRuns && world.rejections.some((other) => isSameRun(run, other.run))
    // With streams the leader repeats an order that the agent has, which ignores it.
    const isAwaited = (run: runWorld.TaskRun): boolean =>
      !hasStreams && world.orders.some((order) => order.awaited && isSameRun(run, order.run))
    const isObsolete = (run: runWorld.TaskRun): boolean =>
      guards.skipCancelledJobs && view.jobs.get(run.job)?.phase !== 'active'
    return held
      .filter((run) => !isEnding(run) && !isAwaited(run) && !isObsolete(run))
      .map((run) => ({ run, uncertain: guards.markRepeatedOrders }))
      .reduce((sending, order) => streams.send(sending, worker, order), world)
  }

  const streams = runStreams.createRunStreams({
    guards,
    budget,
    hasStreams,
    reject,
    repeatOrders,
  })

  const restartAgent = (world: World, worker: Worker): readonly runSteps.RunAction[] => {
    if (world.agentRestarts >= budget.agentRestarts) return []
    const forgotten = {
      ...world,
      agentRestarts: world.agentRestarts + 1,
      rejections: world.rejections.map((rejection) =>
        rejection.workerId === worker.id ? { ...rejection, reported: false } : rejection,
      ),
    }
    const text = `the agent of ${worker.id} is killed and starts again`
    return [{ text, apply: () => repeatOrders(streams.restart(forgotten, worker), worker) }]
  }

  const changeLeader = (world: World): readonly runSteps.RunAction[] => {
    if (world.leaderChanges >= budget.leaderChanges) return []
    const changed = {
      ...world,
      leaderChanges: world.leaderChanges + 1,
      agents: Object.fromEntries(
        world.workers.map((worker) => {
          const agent = runSteps.agentOf(world, worker)
          const lease = runSteps.isFollowing(world, worker) ? worker.lease : agent.lease
          return [worker.id, { ...agent, lease }]
        }),
      ),
      rejections: world.rejections.filter(({ reported }) => reported),
    }
    const text = 'the leader changes'
    if (hasStreams) return [{ text, apply: () => changed }]
    return [{ text, apply: () => world.workers.reduce(attachAtOnce, changed) }]
  }

  const attachAtOnce = (world: World, worker: Worker): World => {
    const agent = { asked: world.leaderChanges, term: world.leaderChanges, lease: 0 }
    return repeatOrders({ ...world, agents: { ...world.agents, [worker.id]: agent } }, worker)
  }

  const end = (world: World, worker: Worker): readonly runSteps.RunAction[] =>
    worker.running.flatMap((run) => {
      const ended = (completed: boolean): World =>
        replaceWorker(world, {
          ...runSteps.bar(worker, [run]),
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
  const record = (world: World, worker: Worker): readonly runSteps.RunAction[] => {
    if (worker.ends.length === 0) return []
    const apply = (): World => {
      const { view } = runWorld.replay(world.log)
      const committed = worker.ends
        .map(({ run, completed }) => {
          const kind = completed ? EndKind.COMPLETED : EndKind.FAILED
          return endsOf(worker, runSteps.holderOf(view, worker, run), [run], kind)
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

  const crash = (world: World, worker: Worker): readonly runSteps.RunAction[] => {
    if (world.crashes >= budget.crashes) return []
    const reborn = { ...worker, bornMs: worker.bornMs + 1, running: [], ends: [], barred: {} }
    const apply = (): World => replaceWorker({ ...world, crashes: world.crashes + 1 }, reborn)
    return [{ text: `${worker.id} crashes and starts again under its id`, apply }]
  }

  const learn = (
    world: World,
    worker: Worker,
    view: workflowState.WorkflowView,
  ): readonly runSteps.RunAction[] => {
    const before = world.known[worker.id] ?? 0
    if (before >= worker.bornMs) return []
    const apply = (): World => {
      // A run that a late order completed here is listed as ended and is not reported as stopped.
      const runs = runsHeldBy(view, worker.id, before).filter(
        (run) => !worker.ends.some((listed) => isSameRun(listed.run, run)),
      )
      const barred = guards.barOldIncarnation
        ? replaceWorker(world, runSteps.bar(worker, runs))
        : world
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
  ): readonly runSteps.RunAction[] => {
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
      return commit(streams.stopLost(silent, worker), endsOf(worker, bornMs, runs, EndKind.LOST))
    }
    return [{ text: `${worker.id} is silent and its runs count as lost`, apply }]
  }

  return {
    name: scenario.name,
    initial: [
      {
        log: [runWorld.submitChain(JOB, hasStreams ? 1 : 2)],
        workers: WORKER_IDS.map((id) => ({
          id,
          bornMs: 1,
          lease: 0,
          running: [],
          ends: [],
          barred: {},
        })),
        known: Object.fromEntries(WORKER_IDS.map((id) => [id, 1])),
        agents: Object.fromEntries(WORKER_IDS.map((id) => [id, runSteps.FIRST_AGENT])),
        orders: [],
        rejections: [],
        acknowledged: [],
        startedAgain: [],
        startedCancelled: [],
        crashes: 0,
        copies: 0,
        refusals: 0,
        lapses: 0,
        failures: 0,
        agentRestarts: 0,
        leaderChanges: 0,
        cancels: 0,
      },
    ],
    actions: (world) => {
      const { view } = runWorld.replay(world.log)
      return [
        ...assign(world, view),
        ...deliver(world),
        ...recordRejections(world),
        ...changeLeader(world),
        ...streams.actions(world, view),
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
        name: 'a cancelled job gets no order',
        check: ({ startedCancelled }) =>
          startedCancelled[0] && `${startedCancelled[0]} started after the cancellation`,
      },
      {
        name: 'a run of a cancelled job is held until it has ended',
        check: (world) => {
          const job = runSteps.viewOf(world).jobs.get(JOB)
          if (job?.phase !== 'cancelled') return undefined
          const isHeld = ({ occurrence, step, index, run }: runWorld.TaskRun): boolean => {
            const task = job.occurrences.get(occurrence)?.steps[step]?.tasks[index]
            return task?.phase === 'assigned' && task.run === run
          }
          const running = world.workers.flatMap((worker) => worker.running)
          const free = running.find((run) => !isHeld(run))
          return free && `${workflowState.runKey(free)} runs and is not held`
        },
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
