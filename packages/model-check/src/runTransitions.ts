/** Scenario type of the run model, and state queries and updates that its transitions share. */
import type * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'
import * as runState from './runModelState.js'

type ModelState = runState.RunModelState
type Worker = runState.ModelWorker

export interface RunScenario {
  readonly name: string
  readonly protection: keyof runState.RunGuards
  /** Maximum number of faults of each kind in one trace. */
  readonly budget: runState.FaultCounts
  /**
   * Whether orders take separate transitions from leader to agent and from agent to worker, and agents attach to a new
   * leader one by one. The job then has one step, so that the state space stays small enough to explore completely.
   */
  readonly hasStreams?: boolean
  /** Whether the agents' fencing tokens rise; the scenario whose protection this is decides by itself. @default false */
  readonly raisesToken?: boolean
  /**
   * Whether an incarnation that has not been called yet gets only orders for which its agent waits and whose run has
   * not ended. It has seen no fencing token, so no caller can keep others from it. @default false
   */
  readonly sparesUncalled?: boolean
}

/** One enabled transition. */
export interface RunAction {
  readonly text: string
  readonly apply: () => ModelState
}

export const labelOf = (run: runState.TaskRun): string => `${run.step}#${run.run}`

export const removeAt = <T>(items: readonly T[], index: number): readonly T[] =>
  items.filter((_, position) => position !== index)

export const replaceWorker = (state: ModelState, worker: Worker): ModelState => ({
  ...state,
  workers: state.workers.map((other) => (other.id === worker.id ? worker : other)),
})

export const commit = (state: ModelState, body: runState.Body): ModelState => ({
  ...state,
  log: [...state.log, body],
})

export const isSameRun = (a: runState.TaskRun, b: runState.TaskRun): boolean =>
  workflowState.runKey(a) === workflowState.runKey(b)

/** Stops runs at a worker and bars them from starting there again. */
export const barRuns = (worker: Worker, runs: readonly runState.TaskRun[]): Worker => {
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

/** Whether an order is for this worker and run. */
export const isOrderFor = (
  order: runState.RunOrder,
  worker: Pick<Worker, 'id'>,
  run: runState.TaskRun,
): boolean => order.workerId === worker.id && isSameRun(order.run, run)

/** Agent that is attached to the first leader. */
export const INITIAL_AGENT: runState.ModelAgent = { attachedTerm: 0, term: 0, lease: 0, token: 0 }

export const agentOf = (state: ModelState, { id }: Pick<Worker, 'id'>): runState.ModelAgent =>
  state.agents[id] ?? INITIAL_AGENT

/** Raises the token of a worker's agent. */
export const raiseToken = (state: ModelState, worker: Pick<Worker, 'id'>): ModelState => {
  const agent = agentOf(state, worker)
  const raised = { ...agent, token: agent.token + 1 }
  return { ...state, agents: { ...state.agents, [worker.id]: raised } }
}

/** The agent calls its worker, which then ignores all orders with a lower token. */
export const call = (state: ModelState, { id }: Pick<Worker, 'id'>): ModelState => {
  const called = state.workers.find((worker) => worker.id === id)
  if (called === undefined) return state
  const token = Math.max(called.token, agentOf(state, called).token)
  return replaceWorker(state, { ...called, token, called: true })
}

/** Whether the current leader has a stream to the worker's agent. */
export const isAttached = (state: ModelState, worker: Pick<Worker, 'id'>): boolean =>
  agentOf(state, worker).attachedTerm === state.leaderChanges

/** Whether the worker's agent follows the stream of the current leader. */
export const isFollowing = (state: ModelState, worker: Pick<Worker, 'id'>): boolean =>
  agentOf(state, worker).term === state.leaderChanges

export const viewOf = (state: ModelState): workflowState.WorkflowView =>
  runState.replay(state.log).view

/** Runs that the state machine holds for one incarnation of a worker. */
export const runsHeldBy = (
  view: workflowState.WorkflowView,
  id: string,
  bornMs: number,
): readonly runState.TaskRun[] =>
  [...(view.loads.get(workflowState.workerKey({ id, bornMs }))?.runs.values() ?? [])].map(
    ({ step, task }) => ({
      job: step.job.spec.id,
      occurrence: step.occurrence,
      step: step.index,
      index: task.index,
      run: task.run,
    }),
  )

/** Incarnation under which the end of a run is committed; an end at a later incarnation, after a late order, counts too. */
export const holderIncarnation = (
  view: workflowState.WorkflowView,
  worker: Worker,
  run: runState.TaskRun,
): number => {
  const task = view.jobs.get(run.job)?.occurrences.get(run.occurrence)?.steps[run.step]?.tasks[
    run.index
  ]
  const holder = task?.run === run.run ? task.worker : undefined
  return holder?.id === worker.id && holder.bornMs <= worker.bornMs ? holder.bornMs : worker.bornMs
}

export const createEndsCommand = (
  worker: Pick<Worker, 'id'>,
  bornMs: number,
  runs: readonly runState.TaskRun[],
  kind: protocol.workflow.EndKind,
): runState.Body => ({
  $case: 'ends',
  value: {
    worker: runState.identityOf(worker, bornMs),
    ends: runs.map((run) => ({ run, kind, checkpoint: '' })),
  },
})
