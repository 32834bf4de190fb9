/** Policies that are compared: the decisions of the leader's term, with single rules taken out or changed. */
import * as workflowControl from '@ebonyweir/workflow-control'
import type * as scheduling from '@ebonyweir/workflow-scheduling'
import type * as workflowState from '@ebonyweir/workflow-state'

type TermParts = workflowControl.TermParts

export interface Variant {
  readonly name: string
  readonly change: (parts: TermParts) => TermParts
}

/** Share of their reservations that serving tasks are assumed to use where reservations are not counted in full. */
const USED_SHARE = 0.6

/** Workers of one group where moves are limited by group: a small deployment. */
const MOVE_GROUP = 11

const firstComeFirstServed = (parts: TermParts): TermParts => ({
  ...parts,
  createFillerRanks: () => ({ rankOf: ({ job }) => job.submittedMs, isChosen: () => true }),
})

/** Ranks as they are, without the choice of jobs by supply. */
const allMayDisturb = (parts: TermParts): TermParts => ({
  ...parts,
  createFillerRanks: (options) => ({
    ...parts.createFillerRanks(options),
    isChosen: () => true,
  }),
})

const withoutMoves = (parts: TermParts): TermParts => ({
  ...parts,
  createFillerPacing: (options) => ({
    ...parts.createFillerPacing(options),
    shouldMove: () => false,
  }),
})

/** Limits moves in each group of workers instead of in the whole deployment. */
const movesByGroup = (parts: TermParts): TermParts => ({
  ...parts,
  createFillerPacing: (options) => {
    const groups = new Map<number, workflowControl.FillerPacing>()
    const groupOf = (name: string): workflowControl.FillerPacing => {
      const number = Math.floor(Number(name.replace(/\D/g, '')) / MOVE_GROUP)
      const known = groups.get(number) ?? parts.createFillerPacing(options)
      groups.set(number, known)
      return known
    }
    return {
      pace: (session) => {
        groupOf(session.agent).pace(session)
      },
      shouldMove: (active, run, places) =>
        groupOf(active.task.worker?.agent ?? '').shouldMove(active, run, places),
      forget: (key) => {
        for (const group of groups.values()) group.forget(key)
      },
    }
  },
})

/** The view with only a part of what serving tasks reserve. */
const withUsedPart = (
  view: workflowState.WorkflowView,
  part: number,
): workflowState.WorkflowView => ({
  configuration: view.configuration,
  evacuated: view.evacuated,
  jobs: view.jobs,
  readySteps: view.readySteps,
  get loads() {
    return new Map(
      [...view.loads].map(([key, load]) => [key, { ...load, cpuMillis: load.cpuMillis * part }]),
    )
  },
})

/** Plans serving steps as they are, and then filling ones with a part of what serving tasks reserve. */
const planWithUsedPart =
  (plan: typeof scheduling.planAssignments, part: number): typeof scheduling.planAssignments =>
  (input) => {
    const serving = plan({ ...input, servingOnly: true })
    if (input.servingOnly === true) return serving
    const view = withUsedPart(input.view, part)
    const readySteps = new Set([...view.readySteps].filter(({ spec }) => spec.filling))
    const filling = plan({
      ...input,
      view: { ...view, readySteps },
      maxAssignments: input.maxAssignments - serving.assignments.length,
    })
    return {
      workers: [...new Set([...serving.workers, ...filling.workers])],
      assignments: [...serving.assignments, ...filling.assignments],
      tasksLookedAt: serving.tasksLookedAt + filling.tasksLookedAt,
    }
  }

const placeByUse =
  (part: number) =>
  (parts: TermParts): TermParts => ({
    ...parts,
    planAssignments: planWithUsedPart(parts.planAssignments, part),
    createFillingPlaces: (input) =>
      parts.createFillingPlaces({ ...input, view: withUsedPart(input.view, part) }),
  })

const rankByUse =
  (part: number) =>
  (parts: TermParts): TermParts => ({
    ...parts,
    createFillerRanks: (options) => {
      const ranks = parts.createFillerRanks({ ...options, view: withUsedPart(options.view, part) })
      return ranks
    },
  })

/** Processors that the other tasks of a worker leave to fillers, where reservations count in part. */
const paceByUse =
  (part: number) =>
  (parts: TermParts): TermParts => ({
    ...parts,
    createFillerPacing: (options) =>
      parts.createFillerPacing({
        ...options,
        leftCpuMillis: (session) => {
          const capacity = session.worker?.capacity?.cpuMillis ?? 0
          return capacity - (capacity - options.leftCpuMillis(session)) * part
        },
      }),
  })

const all =
  (...changes: readonly Variant['change'][]) =>
  (parts: TermParts): TermParts =>
    changes.reduce((changed, change) => change(changed), parts)

const everywhereByUse = (part: number): Variant['change'] =>
  all(placeByUse(part), rankByUse(part), paceByUse(part))

export const VARIANTS: readonly Variant[] = [
  { name: 'as it is', change: (parts) => parts },
  { name: 'no ranks', change: firstComeFirstServed },
  { name: 'all may disturb', change: allMayDisturb },
  { name: 'no moves', change: withoutMoves },
  { name: 'moves by group', change: movesByGroup },
  { name: 'place by use', change: placeByUse(USED_SHARE) },
  { name: 'rank by use', change: rankByUse(USED_SHARE) },
  { name: 'pace by use', change: paceByUse(USED_SHARE) },
  { name: 'use everywhere', change: everywhereByUse(USED_SHARE) },
  { name: 'reservations not counted', change: everywhereByUse(0) },
]

export const partsOf = ({ change }: Variant): TermParts => change(workflowControl.TERM_PARTS)
