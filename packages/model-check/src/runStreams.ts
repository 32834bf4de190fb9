/** Actions of the model of runs between the leader and the agents: orders on their way, new leaders, cancellations. */
import * as workflowState from '@ebonyweir/workflow-state'
import * as runSteps from './runSteps.js'
import type * as runWorld from './runWorld.js'

type World = runWorld.RunWorld
type Worker = runWorld.ModelWorker
type Order = runWorld.RunOrder

export interface RunStreamOptions {
  readonly guards: runWorld.RunGuards
  readonly budget: runWorld.FaultCounts
  readonly hasStreams: boolean
  /** The agent reports that a run will not start. */
  readonly reject: (world: World, worker: Worker, run: runWorld.TaskRun) => World
  /** The leader repeats the orders for the runs that a worker holds. */
  readonly repeatOrders: (world: World, worker: Worker) => World
}

export interface RunStreams {
  /** Sends an order to the agent of a worker; without streams the agent gives it at once. */
  readonly send: (world: World, worker: Worker, order: Pick<Order, 'run' | 'uncertain'>) => World
  /** A new agent process has a stream of its own, and knows nothing of the orders before. */
  readonly restart: (world: World, worker: Worker) => World
  /** The leader counts the runs of a worker as lost and has them stopped, if it reaches the agent. */
  readonly stopLost: (world: World, worker: Worker) => World
  /** A rejection is committed; the agent knows that after the orders that were sent before. */
  readonly settleRejection: (
    world: World,
    worker: Pick<Worker, 'id'>,
    run: runWorld.TaskRun,
  ) => World
  readonly actions: (
    world: World,
    view: workflowState.WorkflowView,
  ) => readonly runSteps.RunAction[]
}

const isCancelled = (view: workflowState.WorkflowView, run: runWorld.TaskRun): boolean =>
  view.jobs.get(run.job)?.phase === 'cancelled'

const isGiven = ({ stage }: Order): boolean => stage === 'given'

export const createRunStreams = (options: RunStreamOptions): RunStreams => {
  const { guards, budget, hasStreams } = options

  /** Newest lease that the agent knows; only the current leader renews it. */
  const leaseOf = (world: World, worker: Worker): number =>
    runSteps.isFollowing(world, worker) ? worker.lease : runSteps.agentOf(world, worker).lease

  const send: RunStreams['send'] = (world, worker, { run, uncertain }) => {
    const order: Order = {
      run,
      uncertain,
      workerId: worker.id,
      stage: hasStreams ? 'sent' : 'given',
      term: world.leaderChanges,
      lease: worker.lease,
      awaited: true,
      afterCancel: isCancelled(runSteps.viewOf(world), run),
    }
    return { ...world, orders: [...world.orders, order] }
  }

  const setAgent = (world: World, { id }: Worker, agent: runWorld.ModelAgent): World => ({
    ...world,
    agents: { ...world.agents, [id]: agent },
  })

  /** Orders on the streams before are lost; those whose outcome is open are dropped. */
  const follow = (world: World, worker: Worker): World => {
    const dropsOrders = guards.dropOpenOrders
    const isLost = ({ stage, term }: Order): boolean =>
      (stage === 'sent' && term < world.leaderChanges) || (stage === 'held' && dropsOrders)
    const isOwn = ({ workerId }: Order): boolean => workerId === worker.id
    const orders = world.orders
      .filter((order) => !isOwn(order) || !isLost(order))
      .map((order) =>
        isOwn(order) && isGiven(order) && dropsOrders ? { ...order, awaited: false } : order,
      )
    const term = world.leaderChanges
    return setAgent({ ...world, orders }, worker, { asked: term, term, lease: worker.lease })
  }

  const restart: RunStreams['restart'] = (world, worker) => {
    const isOwn = ({ workerId }: Order): boolean => workerId === worker.id
    const orders = world.orders
      .filter((order) => !isOwn(order) || isGiven(order))
      .map((order) => (isOwn(order) ? { ...order, awaited: false } : order))
    const term = world.leaderChanges
    return setAgent({ ...world, orders }, worker, { asked: term, term, lease: worker.lease })
  }

  const stopLost: RunStreams['stopLost'] = (world, worker) => {
    if (!guards.stopLostRuns || !runSteps.isAttached(world, worker)) return world
    // An agent that follows an earlier stream gets the stop after it has dropped what it holds.
    const isStopped = ({ workerId, stage, term }: Order): boolean =>
      workerId === worker.id &&
      (stage === 'sent' ? term === world.leaderChanges : stage === 'held') &&
      (stage === 'sent' || runSteps.isFollowing(world, worker))
    return { ...world, orders: world.orders.filter((order) => !isStopped(order)) }
  }

  const settleRejection: RunStreams['settleRejection'] = (world, worker, run) => {
    if (!guards.skipRejectedRuns) return world
    const orders = world.orders.filter(
      (order) => isGiven(order) || !runSteps.isOrderFor(order, worker, run),
    )
    return { ...world, orders }
  }

  /** Orders of one run have one entry in the agent's table. */
  const isIgnored = (world: World, worker: Worker, order: Order): boolean => {
    const isKnown = world.orders.some(
      (other) =>
        other.awaited && other.stage !== 'sent' && runSteps.isOrderFor(other, worker, order.run),
    )
    const isRejected = world.rejections.some(
      (rejection) =>
        rejection.reported &&
        rejection.workerId === worker.id &&
        runSteps.isSameRun(rejection.run, order.run),
    )
    return isKnown || (isRejected && guards.skipRejectedRuns)
  }

  const passOn = (world: World): readonly runSteps.RunAction[] =>
    world.orders.flatMap((order, index) => {
      const worker = world.workers.find(({ id }) => id === order.workerId)
      if (worker === undefined || isGiven(order)) return []
      const label = `order ${runSteps.labelOf(order.run)} for ${worker.id}`
      const replace = (next: Partial<Order>): World => ({
        ...world,
        orders: world.orders.map((other) => (other === order ? { ...other, ...next } : other)),
      })
      if (order.stage === 'held') {
        const lease = leaseOf(world, worker)
        const text = `the agent gives ${label}`
        return [{ text, apply: () => replace({ stage: 'given', lease }) }]
      }
      if (runSteps.agentOf(world, worker).term !== order.term) return []
      const ignored = { ...world, orders: runSteps.without(world.orders, index) }
      const apply = (): World =>
        isIgnored(world, worker, order) ? ignored : replace({ stage: 'held' })
      return [{ text: `${label} reaches the agent`, apply }]
    })

  const attach = (world: World, worker: Worker): readonly runSteps.RunAction[] => {
    if (!hasStreams || runSteps.isFollowing(world, worker)) return []
    if (runSteps.isAttached(world, worker)) {
      const text = `the agent of ${worker.id} follows the new leader`
      return [{ text, apply: () => follow(world, worker) }]
    }
    const agent = { ...runSteps.agentOf(world, worker), asked: world.leaderChanges }
    const apply = (): World => options.repeatOrders(setAgent(world, worker, agent), worker)
    return [{ text: `the new leader hears of ${worker.id}`, apply }]
  }

  const cancel = (
    world: World,
    view: workflowState.WorkflowView,
  ): readonly runSteps.RunAction[] => {
    if (world.cancels >= budget.cancels) return []
    return [...view.jobs.values()]
      .filter(({ phase }) => phase === 'active')
      .map(({ spec: { id: job } }) => ({
        text: 'the job is cancelled',
        apply: () =>
          runSteps.commit(
            { ...world, cancels: world.cancels + 1 },
            { $case: 'cancel', value: { job } },
          ),
      }))
  }

  /** The agent carries a stop of a cancelled run out; a run that is not there is barred and rejected. */
  const stopRun = (world: World, worker: Worker, run: runWorld.TaskRun): World => {
    const isRunning = worker.running.some((other) => runSteps.isSameRun(run, other))
    if (!isRunning && !guards.barCancelledRuns) return options.reject(world, worker, run)
    const orders = world.orders
      .filter((order) => isGiven(order) || !runSteps.isOrderFor(order, worker, run))
      .map((order) =>
        runSteps.isOrderFor(order, worker, run) ? { ...order, awaited: false } : order,
      )
    const barred = runSteps.bar(worker, [run])
    const listed = { run, completed: false, lapsed: false }
    const stopped = isRunning ? { ...barred, ends: [...barred.ends, listed] } : barred
    const next = runSteps.replaceWorker({ ...world, orders }, stopped)
    return isRunning ? next : options.reject(next, stopped, run)
  }

  const stopCancelled = (
    world: World,
    worker: Worker,
    view: workflowState.WorkflowView,
  ): readonly runSteps.RunAction[] => {
    // Stops go to the incarnation that the leader knows.
    if (!runSteps.isFollowing(world, worker)) return []
    if (world.known[worker.id] !== worker.bornMs) return []
    const isEnding = (run: runWorld.TaskRun): boolean =>
      [...world.rejections, ...worker.ends].some((other) => runSteps.isSameRun(run, other.run))
    return runSteps
      .runsHeldBy(view, worker.id, worker.bornMs)
      .filter((run) => isCancelled(view, run) && !isEnding(run))
      .map((run) => ({
        text: `${worker.id} is told to stop ${runSteps.labelOf(run)}`,
        apply: () => stopRun(world, worker, run),
      }))
  }

  return {
    send,
    restart,
    stopLost,
    settleRejection,
    actions: (world, view) => [
      ...passOn(world),
      ...cancel(world, view),
      ...world.workers.flatMap((worker) => [
        ...attach(world, worker),
        ...stopCancelled(world, worker, view),
      ]),
    ],
  }
}
