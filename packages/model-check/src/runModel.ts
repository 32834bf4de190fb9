/** Model of a run from assignment to end: all interleavings of late, duplicated and lost messages within a fault budget. */
import * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as engine from './engine.js'
import * as transitions from './runTransitions.js'
import * as runStreams from './runStreams.js'
import * as runState from './runModelState.js'

type ModelState = runState.RunModelState
type Worker = runState.ModelWorker

const { EndKind } = protocol.workflow
const { commit, createEndsCommand, isSameRun, labelOf, replaceWorker, runsHeldBy } = transitions

const JOB = '5c0e7a21d94b36f8'
const WORKER_IDS: readonly string[] = ['v', 'w']

/** Creates the model of a scenario, which has a counterexample if its protection is disabled. */
export const createRunModel = (
  scenario: transitions.RunScenario,
  isProtected: boolean,
): engine.Model<ModelState, transitions.RunAction> => {
  const { budget, hasStreams = false } = scenario
  const guards: runState.RunGuards = {
    ...runState.ALL_GUARDS,
    raiseToken: scenario.raisesToken ?? false,
    [scenario.protection]: isProtected,
  }

  const isReachable =
    (state: ModelState) =>
    (worker: Worker): boolean =>
      !hasStreams || transitions.isAttached(state, worker)

  const assign = (
    state: ModelState,
    view: workflowState.WorkflowView,
  ): readonly transitions.RunAction[] =>
    [...view.readySteps].flatMap((step) =>
      state.workers.filter(isReachable(state)).map((worker) => {
        const bornMs = state.knownIncarnations[worker.id] ?? 0
        const taskIdentity = { job: JOB, occurrence: 0, step: step.index, index: 0, run: 0 }
        const value = {
          workers: [runState.describeWorker(worker, bornMs)],
          assignments: [{ task: taskIdentity, worker: runState.identityOf(worker, bornMs) }],
        }
        const apply = (): ModelState => {
          const committed = commit(state, { $case: 'assign', value })
          const outcome = runState.replay(state.log).apply({
            nowMs: state.log.length,
            body: { $case: 'assign', value },
          })
          if (outcome.kind !== 'assigned') return committed
          return outcome.accepted
            .flatMap(({ task: run }) => (run === undefined ? [] : [{ run, uncertain: false }]))
            .reduce((next, order) => streams.send(next, worker, order), committed)
        }
        return { text: `step ${step.index} is assigned to ${worker.id}`, apply }
      }),
    )

  /** Whether an order may arrive at all; see `sparesUncalled`. */
  const mayReach = (
    view: workflowState.WorkflowView,
    worker: Worker,
    { awaited, run }: runState.RunOrder,
  ): boolean => {
    if (scenario.sparesUncalled !== true || worker.called) return true
    const bornMs = transitions.holderIncarnation(view, worker, run)
    return awaited && runsHeldBy(view, worker.id, bornMs).some((held) => isSameRun(held, run))
  }

  /**
   * The agent follows an incarnation that it did not know: it waits for no order to the one before any more, and raises its
   * token even if an order was the first to reach the new one.
   */
  const followIncarnation = (state: ModelState, worker: Worker): ModelState => {
    if (!guards.raiseToken) return transitions.call(state, worker)
    const orders = state.orders.map((order) =>
      order.workerId === worker.id ? { ...order, awaited: false } : order,
    )
    return transitions.call(transitions.raiseToken({ ...state, orders }, worker), worker)
  }

  /** The agent gets a list; a crash broke the call under way, so it knows that the incarnation may be another one. */
  const list = (state: ModelState, worker: Worker): ModelState =>
    worker.called ? transitions.call(state, worker) : followIncarnation(state, worker)

  /** An unanswered order raises the token, and a list is called before the order is sent again. */
  const repeat = (state: ModelState, worker: Worker): ModelState => {
    if (!guards.raiseToken) return state
    const called = transitions.call(transitions.raiseToken(state, worker), worker)
    const { token } = transitions.agentOf(called, worker)
    const orders = called.orders.map((order, index) =>
      index === called.orders.length - 1 ? { ...order, token } : order,
    )
    return { ...called, orders }
  }

  const start = (state: ModelState, worker: Worker, order: runState.RunOrder): ModelState => {
    const key = workflowState.taskKey(order.run)
    const isStale = order.lease < worker.lease || (worker.barred[key] ?? 0) >= order.run.run
    const isFenced = order.token < worker.token
    if (isStale || isFenced || worker.running.some((run) => isSameRun(run, order.run))) return state
    const startedAgain = state.acknowledged.includes(key)
      ? [...state.startedAgain, key]
      : state.startedAgain
    const startedCancelled = order.afterCancel
      ? [...state.startedCancelled, key]
      : state.startedCancelled
    const token = Math.max(order.token, worker.token)
    const started = { ...worker, token, running: [...worker.running, order.run] }
    return { ...replaceWorker(state, started), startedAgain, startedCancelled }
  }

  const deliver = (
    state: ModelState,
    view: workflowState.WorkflowView,
  ): readonly transitions.RunAction[] =>
    state.orders.flatMap((order, index) => {
      const worker = state.workers.find(({ id }) => id === order.workerId)
      if (worker === undefined || order.stage !== 'given') return []
      if (!mayReach(view, worker, order)) return []
      const label = `order ${labelOf(order.run)} to ${worker.id}`
      const arrived = { ...state, orders: transitions.removeAt(state.orders, index) }
      const actions: transitions.RunAction[] = [
        { text: `${label} arrives`, apply: () => start(arrived, worker, order) },
      ]
      if (!order.awaited) return actions
      if (state.copies < budget.copies) {
        const copies = state.copies + 1
        const orders = [
          ...arrived.orders,
          { ...order, awaited: false },
          { ...order, uncertain: true },
        ]
        actions.push({
          text: `${label} gets no answer and is sent again`,
          apply: () => repeat({ ...state, copies, orders }, worker),
        })
      }
      if (state.refusals < budget.refusals) {
        actions.push({
          text: `${label} is refused`,
          apply: () => refuse({ ...arrived, refusals: state.refusals + 1 }, worker, order),
        })
      }
      return actions
    })

  const hasReattachment = budget.agentRestarts + budget.leaderChanges > 0

  const refuse = (
    state: ModelState,
    worker: Worker,
    { run, uncertain }: runState.RunOrder,
  ): ModelState => {
    // The agent lists the worker's runs first; it does not refuse a run that is running or has ended there.
    const listedEnds = guards.awaitAllEnds ? worker.ends : []
    const knownRuns = [...worker.running, ...listedEnds.map((listed) => listed.run)]
    if (knownRuns.some((other) => isSameRun(run, other))) return state
    const barred =
      uncertain && guards.barUncertainOrders
        ? replaceWorker(state, transitions.barRuns(worker, [run]))
        : state
    return reject(barred, worker, run)
  }

  const reject = (state: ModelState, worker: Worker, run: runState.TaskRun): ModelState => {
    const { bornMs } = worker
    // If no agent reattaches, the time of the commit makes no difference; committing at once reduces the state space.
    if (!hasReattachment)
      return commit(state, createEndsCommand(worker, bornMs, [run], EndKind.REJECTED))
    const rejection = { run, workerId: worker.id, bornMs, reporterAlive: true }
    return { ...state, rejections: [...state.rejections, rejection] }
  }

  const recordRejections = (state: ModelState): readonly transitions.RunAction[] =>
    state.rejections.map(({ run, workerId, bornMs }, index) => ({
      text: `the rejection of ${labelOf(run)} by ${workerId} is recorded`,
      apply: () => {
        const rejections = transitions.removeAt(state.rejections, index)
        const settled = streams.settleRejection({ ...state, rejections }, { id: workerId }, run)
        return commit(settled, createEndsCommand({ id: workerId }, bornMs, [run], EndKind.REJECTED))
      },
    }))

  /** When an agent attaches, the leader repeats the orders for all runs that the state machine holds for its worker. */
  const repeatOrders = (state: ModelState, worker: Worker): ModelState => {
    const view = transitions.viewOf(state)
    const held = runsHeldBy(view, worker.id, state.knownIncarnations[worker.id] ?? 0)
    const isEnding = (run: runState.TaskRun): boolean =>
      guards.skipEndingRuns && state.rejections.some((other) => isSameRun(run, other.run))
    // With streams, the leader also repeats an order that the agent already has; the agent ignores it.
    const isAwaited = (run: runState.TaskRun): boolean =>
      !hasStreams && state.orders.some((order) => order.awaited && isSameRun(run, order.run))
    const isObsolete = (run: runState.TaskRun): boolean =>
      guards.skipCancelledJobs && view.jobs.get(run.job)?.phase !== 'active'
    return held
      .filter((run) => !isEnding(run) && !isAwaited(run) && !isObsolete(run))
      .map((run) => ({ run, uncertain: guards.markRepeatedOrders }))
      .reduce((next, order) => streams.send(next, worker, order), state)
  }

  const streams = runStreams.createRunStreams({
    guards,
    budget,
    hasStreams,
    reject,
    repeatOrders,
  })

  const restartAgent = (state: ModelState, worker: Worker): readonly transitions.RunAction[] => {
    if (state.agentRestarts >= budget.agentRestarts) return []
    const restartedState = {
      ...state,
      agentRestarts: state.agentRestarts + 1,
      rejections: state.rejections.map((rejection) =>
        rejection.workerId === worker.id ? { ...rejection, reporterAlive: false } : rejection,
      ),
    }
    const text = `the agent of ${worker.id} is killed and starts again`
    return [{ text, apply: () => repeatOrders(streams.restart(restartedState, worker), worker) }]
  }

  const changeLeader = (state: ModelState): readonly transitions.RunAction[] => {
    if (state.leaderChanges >= budget.leaderChanges) return []
    const changed = {
      ...state,
      leaderChanges: state.leaderChanges + 1,
      agents: Object.fromEntries(
        state.workers.map((worker) => {
          const agent = transitions.agentOf(state, worker)
          const lease = transitions.isFollowing(state, worker) ? worker.lease : agent.lease
          return [worker.id, { ...agent, lease }]
        }),
      ),
      rejections: state.rejections.filter(({ reporterAlive }) => reporterAlive),
    }
    const text = 'the leader changes'
    if (hasStreams) return [{ text, apply: () => changed }]
    return [{ text, apply: () => state.workers.reduce(attachImmediately, changed) }]
  }

  const attachImmediately = (state: ModelState, worker: Worker): ModelState => {
    const { token } = transitions.agentOf(state, worker)
    const agent = { attachedTerm: state.leaderChanges, term: state.leaderChanges, lease: 0, token }
    const attached = { ...state, agents: { ...state.agents, [worker.id]: agent } }
    return repeatOrders(
      guards.raiseToken ? transitions.raiseToken(attached, worker) : attached,
      worker,
    )
  }

  const endRun = (state: ModelState, worker: Worker): readonly transitions.RunAction[] =>
    worker.running.flatMap((run) => {
      const ended = (completed: boolean): ModelState =>
        replaceWorker(state, {
          ...transitions.barRuns(worker, [run]),
          ends: [...worker.ends, { run, completed, lapsed: false }],
        })
      const completes = {
        text: `${labelOf(run)} completes at ${worker.id}`,
        apply: () => ended(true),
      }
      if (state.failures >= budget.failures) return [completes]
      const failures = state.failures + 1
      const fails = {
        text: `${labelOf(run)} fails at ${worker.id}`,
        apply: () => ({ ...ended(false), failures }),
      }
      return [completes, fails]
    })

  /** The worker may forget an end once it is acknowledged; an uncommitted end can be lost when the leader's term ends. */
  const recordEnds = (state: ModelState, worker: Worker): readonly transitions.RunAction[] => {
    if (worker.ends.length === 0) return []
    const apply = (): ModelState => {
      const { view } = runState.replay(state.log)
      const committed = worker.ends
        .map(({ run, completed }) => {
          const kind = completed ? EndKind.COMPLETED : EndKind.FAILED
          return createEndsCommand(
            worker,
            transitions.holderIncarnation(view, worker, run),
            [run],
            kind,
          )
        })
        .reduce(commit, state)
      const afterCommit = guards.commitBeforeAcknowledge ? committed : state
      const certainEnds = worker.ends.filter(({ completed, lapsed }) => completed && !lapsed)
      const acknowledged = [
        ...state.acknowledged,
        ...certainEnds.map(({ run }) => workflowState.taskKey(run)),
      ]
      return list(replaceWorker({ ...afterCommit, acknowledged }, { ...worker, ends: [] }), worker)
    }
    return [{ text: `the ends of ${worker.id} are recorded`, apply }]
  }

  const crash = (state: ModelState, worker: Worker): readonly transitions.RunAction[] => {
    if (state.crashes >= budget.crashes) return []
    const restarted = {
      ...worker,
      bornMs: worker.bornMs + 1,
      token: -1,
      called: false,
      running: [],
      ends: [],
      barred: {},
    }
    const apply = (): ModelState =>
      replaceWorker({ ...state, crashes: state.crashes + 1 }, restarted)
    return [{ text: `${worker.id} crashes and starts again under its id`, apply }]
  }

  const detectRestart = (
    state: ModelState,
    worker: Worker,
    view: workflowState.WorkflowView,
  ): readonly transitions.RunAction[] => {
    const previousBornMs = state.knownIncarnations[worker.id] ?? 0
    if (previousBornMs >= worker.bornMs) return []
    const apply = (): ModelState => {
      // A late order may have completed a run at the new incarnation; it is listed as ended and not reported as lost.
      const runs = runsHeldBy(view, worker.id, previousBornMs).filter(
        (run) => !worker.ends.some((listed) => isSameRun(listed.run, run)),
      )
      const barred = guards.barOldIncarnation
        ? replaceWorker(state, transitions.barRuns(worker, runs))
        : state
      const knownIncarnations = { ...state.knownIncarnations, [worker.id]: worker.bornMs }
      return commit(
        followIncarnation({ ...barred, knownIncarnations }, worker),
        createEndsCommand(worker, previousBornMs, runs, EndKind.LOST),
      )
    }
    return [{ text: `the leader learns that ${worker.id} started again`, apply }]
  }

  /** An unresponsive worker is declared lost; its lease has expired by its own clock, because the leader waits longer. */
  const declareLost = (
    state: ModelState,
    worker: Worker,
    view: workflowState.WorkflowView,
  ): readonly transitions.RunAction[] => {
    if (state.lapses >= budget.lapses) return []
    const apply = (): ModelState => {
      const bornMs = state.knownIncarnations[worker.id] ?? 0
      const runs = runsHeldBy(view, worker.id, bornMs)
      const lapsed = guards.waitForLease
        ? {
            ...worker,
            lease: worker.lease + 1,
            running: [],
            ends: worker.ends.map((listed) => ({ ...listed, lapsed: true })),
          }
        : worker
      const afterLapse = replaceWorker({ ...state, lapses: state.lapses + 1 }, lapsed)
      return commit(
        streams.stopLost(afterLapse, worker),
        createEndsCommand(worker, bornMs, runs, EndKind.LOST),
      )
    }
    return [{ text: `${worker.id} is silent and its runs count as lost`, apply }]
  }

  return {
    name: scenario.name,
    initial: [
      {
        log: [runState.submitChain(JOB, hasStreams ? 1 : 2)],
        workers: WORKER_IDS.map((id) => ({
          id,
          bornMs: 1,
          token: 0,
          called: true,
          lease: 0,
          running: [],
          ends: [],
          barred: {},
        })),
        knownIncarnations: Object.fromEntries(WORKER_IDS.map((id) => [id, 1])),
        agents: Object.fromEntries(WORKER_IDS.map((id) => [id, transitions.INITIAL_AGENT])),
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
    actions: (state) => {
      const { view } = runState.replay(state.log)
      return [
        ...assign(state, view),
        ...deliver(state, view),
        ...recordRejections(state),
        ...changeLeader(state),
        ...streams.actions(state, view),
        ...state.workers.flatMap((worker) => [
          ...endRun(state, worker),
          ...recordEnds(state, worker),
          ...crash(state, worker),
          ...restartAgent(state, worker),
          ...detectRestart(state, worker, view),
          ...declareLost(state, worker, view),
        ]),
      ]
    },
    next: (_, action) => action.apply(),
    key: ({ log, ...rest }) => {
      const snapshot = Buffer.from(runState.replay(log).snapshot()).toString('base64')
      return `${snapshot} ${JSON.stringify(rest)}`
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
        check: (state) => {
          const job = transitions.viewOf(state).jobs.get(JOB)
          if (job?.phase !== 'cancelled') return undefined
          const isHeld = ({ occurrence, step, index, run }: runState.TaskRun): boolean => {
            const task = job.occurrences.get(occurrence)?.steps[step]?.tasks[index]
            return task?.phase === 'assigned' && task.run === run
          }
          const running = state.workers.flatMap((worker) => worker.running)
          const unheld = running.find((run) => !isHeld(run))
          return unheld && `${workflowState.runKey(unheld)} runs and is not held`
        },
      },
      {
        name: 'a worker runs no more than its capacity',
        check: ({ workers }) => {
          const overloaded = workers.find((worker) => worker.running.length > 1)
          return (
            overloaded &&
            `${overloaded.id} runs ${overloaded.running.length} tasks that take all of it`
          )
        },
      },
      {
        name: 'a step waits for those before it',
        check: ({ log, workers }) => {
          const runsSecondStep = workers.some((worker) =>
            worker.running.some(({ step }) => step > 0),
          )
          if (!runsSecondStep) return undefined
          const first = runState.replay(log).view.jobs.get(JOB)?.occurrences.get(0)?.steps[0]
          return first?.completedCount === 1 ? undefined : 'step 1 runs before step 0 completed'
        },
      },
    ],
  }
}
