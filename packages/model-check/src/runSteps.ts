/** Parts of the model of runs: its scenarios, and changes of its world that several actions share. */
import type * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'
import * as runWorld from './runWorld.js'

type World = runWorld.RunWorld
type Worker = runWorld.ModelWorker

export interface RunScenario {
  readonly name: string
  readonly protection: keyof runWorld.RunGuards
  /** How often each kind of fault may happen in one trace. */
  readonly budget: runWorld.FaultCounts
  /**
   * Whether orders take separate steps from the leader to the agent and from there to the worker, and agents attach to a
   * new leader one by one. The job then has one step, so that all orders of events can be visited.
   */
  readonly hasStreams?: boolean
}

/** One enabled change of the world. */
export interface RunAction {
  readonly text: string
  readonly apply: () => World
}

export const labelOf = (run: runWorld.TaskRun): string => `${run.step}#${run.run}`

export const without = <T>(items: readonly T[], index: number): readonly T[] =>
  items.filter((_, position) => position !== index)

export const replaceWorker = (world: World, worker: Worker): World => ({
  ...world,
  workers: world.workers.map((other) => (other.id === worker.id ? worker : other)),
})

export const commit = (world: World, body: runWorld.Body): World => ({
  ...world,
  log: [...world.log, body],
})

export const isSameRun = (a: runWorld.TaskRun, b: runWorld.TaskRun): boolean =>
  workflowState.runKey(a) === workflowState.runKey(b)

export const bar = (worker: Worker, runs: readonly runWorld.TaskRun[]): Worker => {
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

/** Whether an order is for a run of a worker. */
export const isOrderFor = (
  order: runWorld.RunOrder,
  worker: Pick<Worker, 'id'>,
  run: runWorld.TaskRun,
): boolean => order.workerId === worker.id && isSameRun(order.run, run)

/** Agent of a worker that has not met a leader after the first one. */
export const FIRST_AGENT: runWorld.ModelAgent = { asked: 0, term: 0, lease: 0 }

export const agentOf = (world: World, { id }: Pick<Worker, 'id'>): runWorld.ModelAgent =>
  world.agents[id] ?? FIRST_AGENT

/** Whether the current leader has a stream to the agent of a worker. */
export const isAttached = (world: World, worker: Pick<Worker, 'id'>): boolean =>
  agentOf(world, worker).asked === world.leaderChanges

/** Whether the agent of a worker follows the stream of the current leader. */
export const isFollowing = (world: World, worker: Pick<Worker, 'id'>): boolean =>
  agentOf(world, worker).term === world.leaderChanges

export const viewOf = (world: World): workflowState.WorkflowView => runWorld.replay(world.log).view

/** Runs that the state machine holds for one incarnation. */
export const runsHeldBy = (
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
export const holderOf = (
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

export const endsOf = (
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
