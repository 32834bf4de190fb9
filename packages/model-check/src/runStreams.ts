/** Transitions of the run model between leader and agents: orders in transit, leader changes, cancellations. */
import * as workflowState from '@ebonyweir/workflow-state'
import * as transitions from './runTransitions.js'
import type * as runState from './runModelState.js'

type ModelState = runState.RunModelState
type Worker = runState.ModelWorker
type Order = runState.RunOrder

export interface RunStreamOptions {
  readonly guards: runState.RunGuards
  readonly budget: runState.FaultCounts
  readonly hasStreams: boolean
  /** Reports from the agent that a run will not start. */
  readonly reject: (state: ModelState, worker: Worker, run: runState.TaskRun) => ModelState
  /** Repeats the leader's orders for the runs that a worker holds. */
  readonly repeatOrders: (state: ModelState, worker: Worker) => ModelState
}

export interface RunStreams {
  /** Sends an order to the agent of a worker; without streams the agent forwards it immediately. */
  readonly send: (
    state: ModelState,
    worker: Worker,
    order: Pick<Order, 'run' | 'uncertain'>,
  ) => ModelState
  /** Restarts the agent process, which gets a new stream and has no record of earlier orders. */
  readonly restart: (state: ModelState, worker: Worker) => ModelState
  /** Stops the runs of a worker that the leader declares lost, if the leader is attached to the agent. */
  readonly stopLost: (state: ModelState, worker: Worker) => ModelState
  /** Removes orders for a run whose rejection is being committed, which the agent learns only after them. */
  readonly settleRejection: (
    state: ModelState,
    worker: Pick<Worker, 'id'>,
    run: runState.TaskRun,
  ) => ModelState
  readonly actions: (
    state: ModelState,
    view: workflowState.WorkflowView,
  ) => readonly transitions.RunAction[]
}

const isCancelled = (view: workflowState.WorkflowView, run: runState.TaskRun): boolean =>
  view.jobs.get(run.job)?.phase === 'cancelled'

const isGiven = ({ stage }: Order): boolean => stage === 'given'

export const createRunStreams = (options: RunStreamOptions): RunStreams => {
  const { guards, budget, hasStreams } = options

  /** Number of the newest lease that the agent knows; only the current leader renews it. */
  const leaseOf = (state: ModelState, worker: Worker): number =>
    transitions.isFollowing(state, worker) ? worker.lease : transitions.agentOf(state, worker).lease

  const send: RunStreams['send'] = (state, worker, { run, uncertain }) => {
    const order: Order = {
      run,
      uncertain,
      workerId: worker.id,
      stage: hasStreams ? 'sent' : 'given',
      term: state.leaderChanges,
      lease: worker.lease,
      token: transitions.agentOf(state, worker).token,
      awaited: true,
      afterCancel: isCancelled(transitions.viewOf(state), run),
    }
    return { ...state, orders: [...state.orders, order] }
  }

  const setAgent = (state: ModelState, { id }: Worker, agent: runState.ModelAgent): ModelState => ({
    ...state,
    agents: { ...state.agents, [id]: agent },
  })

  /** Lets the agent follow the current leader on a new stream, which raises its token. */
  const follow = (state: ModelState, worker: Worker): ModelState => {
    const term = state.leaderChanges
    const { token } = transitions.agentOf(state, worker)
    const agent = { attachedTerm: term, term, lease: worker.lease, token }
    const following = setAgent(state, worker, agent)
    return guards.raiseToken ? transitions.raiseToken(following, worker) : following
  }

  /** Switches the agent to the new leader's stream: orders on earlier streams are lost, held ones are dropped. */
  const followLeader = (state: ModelState, worker: Worker): ModelState => {
    const dropsOrders = guards.dropOpenOrders
    const isLost = ({ stage, term }: Order): boolean =>
      (stage === 'sent' && term < state.leaderChanges) || (stage === 'held' && dropsOrders)
    const isForWorker = ({ workerId }: Order): boolean => workerId === worker.id
    const orders = state.orders
      .filter((order) => !isForWorker(order) || !isLost(order))
      .map((order) =>
        isForWorker(order) && isGiven(order) && dropsOrders ? { ...order, awaited: false } : order,
      )
    return follow({ ...state, orders }, worker)
  }

  const restart: RunStreams['restart'] = (state, worker) => {
    const isForWorker = ({ workerId }: Order): boolean => workerId === worker.id
    const orders = state.orders
      .filter((order) => !isForWorker(order) || isGiven(order))
      .map((order) => (isForWorker(order) ? { ...order, awaited: false } : order))
    return follow({ ...state, orders }, worker)
  }

  const stopLost: RunStreams['stopLost'] = (state, worker) => {
    if (!guards.stopLostRuns || !transitions.isAttached(state, worker)) return state
    // An agent on an earlier stream gets the stop only after it has dropped its held orders.
    const isStopped = ({ workerId, stage, term }: Order): boolean =>
      workerId === worker.id &&
      (stage === 'sent' ? term === state.leaderChanges : stage === 'held') &&
      (stage === 'sent' || transitions.isFollowing(state, worker))
    return { ...state, orders: state.orders.filter((order) => !isStopped(order)) }
  }

  const settleRejection: RunStreams['settleRejection'] = (state, worker, run) => {
    if (!guards.skipRejectedRuns) return state
    const orders = state.orders.filter(
      (order) => isGiven(order) || !transitions.isOrderFor(order, worker, run),
    )
    return { ...state, orders }
  }

  /** Whether the agent ignores an order: it has one for the same run, or its rejection of that run is pending. */
  const isIgnored = (state: ModelState, worker: Worker, order: Order): boolean => {
    const isKnown = state.orders.some(
      (other) =>
        other.awaited && other.stage !== 'sent' && transitions.isOrderFor(other, worker, order.run),
    )
    const isRejected = state.rejections.some(
      (rejection) =>
        rejection.reporterAlive &&
        rejection.workerId === worker.id &&
        transitions.isSameRun(rejection.run, order.run),
    )
    return isKnown || (isRejected && guards.skipRejectedRuns)
  }

  const forwardOrders = (state: ModelState): readonly transitions.RunAction[] =>
    state.orders.flatMap((order, index) => {
      const worker = state.workers.find(({ id }) => id === order.workerId)
      if (worker === undefined || isGiven(order)) return []
      const label = `order ${transitions.labelOf(order.run)} for ${worker.id}`
      const replace = (next: Partial<Order>): ModelState => ({
        ...state,
        orders: state.orders.map((other) => (other === order ? { ...other, ...next } : other)),
      })
      if (order.stage === 'held') {
        const lease = leaseOf(state, worker)
        const text = `the agent gives ${label}`
        const { token } = transitions.agentOf(state, worker)
        return [{ text, apply: () => replace({ stage: 'given', lease, token }) }]
      }
      if (transitions.agentOf(state, worker).term !== order.term) return []
      const ignored = { ...state, orders: transitions.removeAt(state.orders, index) }
      const apply = (): ModelState =>
        isIgnored(state, worker, order) ? ignored : replace({ stage: 'held' })
      return [{ text: `${label} reaches the agent`, apply }]
    })

  const attach = (state: ModelState, worker: Worker): readonly transitions.RunAction[] => {
    if (!hasStreams || transitions.isFollowing(state, worker)) return []
    if (transitions.isAttached(state, worker)) {
      const text = `the agent of ${worker.id} follows the new leader`
      return [{ text, apply: () => followLeader(state, worker) }]
    }
    const agent = { ...transitions.agentOf(state, worker), attachedTerm: state.leaderChanges }
    const apply = (): ModelState => options.repeatOrders(setAgent(state, worker, agent), worker)
    return [{ text: `the new leader hears of ${worker.id}`, apply }]
  }

  const cancel = (
    state: ModelState,
    view: workflowState.WorkflowView,
  ): readonly transitions.RunAction[] => {
    if (state.cancels >= budget.cancels) return []
    return [...view.jobs.values()]
      .filter(({ phase }) => phase === 'active')
      .map(({ spec: { id: job } }) => ({
        text: 'the job is cancelled',
        apply: () =>
          transitions.commit(
            { ...state, cancels: state.cancels + 1 },
            { $case: 'cancel', value: { job } },
          ),
      }))
  }

  /** The agent stops a cancelled run; a run that is not running at the worker is barred and rejected. */
  const stopRun = (state: ModelState, worker: Worker, run: runState.TaskRun): ModelState => {
    const isRunning = worker.running.some((other) => transitions.isSameRun(run, other))
    if (!isRunning && !guards.barCancelledRuns) return options.reject(state, worker, run)
    const orders = state.orders
      .filter((order) => isGiven(order) || !transitions.isOrderFor(order, worker, run))
      .map((order) =>
        transitions.isOrderFor(order, worker, run) ? { ...order, awaited: false } : order,
      )
    const barred = transitions.barRuns(worker, [run])
    const listed = { run, completed: false, lapsed: false }
    const stopped = isRunning ? { ...barred, ends: [...barred.ends, listed] } : barred
    const next = transitions.replaceWorker({ ...state, orders }, stopped)
    return isRunning ? next : options.reject(next, stopped, run)
  }

  const stopCancelled = (
    state: ModelState,
    worker: Worker,
    view: workflowState.WorkflowView,
  ): readonly transitions.RunAction[] => {
    // Stops are addressed to the incarnation that the leader knows.
    if (!transitions.isFollowing(state, worker)) return []
    if (state.knownIncarnations[worker.id] !== worker.bornMs) return []
    const isEnding = (run: runState.TaskRun): boolean =>
      [...state.rejections, ...worker.ends].some((other) => transitions.isSameRun(run, other.run))
    return transitions
      .runsHeldBy(view, worker.id, worker.bornMs)
      .filter((run) => isCancelled(view, run) && !isEnding(run))
      .map((run) => ({
        text: `${worker.id} is told to stop ${transitions.labelOf(run)}`,
        apply: () => stopRun(state, worker, run),
      }))
  }

  return {
    send,
    restart,
    stopLost,
    settleRejection,
    actions: (state, view) => [
      ...forwardOrders(state),
      ...cancel(state, view),
      ...state.workers.flatMap((worker) => [
        ...attach(state, worker),
        ...stopCancelled(state, worker, view),
      ]),
    ],
  }
}
