/** Compared policies: the policies of the leader's term, with single rules removed or changed. */
import * as workflowControl from '@ebonyweir/workflow-control'
import type * as scheduling from '@ebonyweir/workflow-scheduling'
import type * as workflowState from '@ebonyweir/workflow-state'

type TermPolicies = workflowControl.TermPolicies

export interface Variant {
  readonly name: string
  readonly change: (policies: TermPolicies) => TermPolicies
  /** @default 'accept-all' */
  readonly admission?: workflowControl.AdmissionPolicyName
}

/** Share of its reservation that a latency-critical task is assumed to use where reservations do not count in full. */
const ASSUMED_USE_SHARE = 0.6

/** Workers per group where moves are limited by group; the size of a small deployment. */
const MOVE_GROUP_SIZE = 11

const firstComeFirstServed = (policies: TermPolicies): TermPolicies => ({
  ...policies,
  createBestEffortRanks: () => ({
    rankOf: ({ job }) => job.submittedMs,
    isChosen: () => true,
    loadOf: () => undefined,
  }),
})

/** Keeps the ranks, but does not select jobs by supply. */
const allowAllInterference = (policies: TermPolicies): TermPolicies => ({
  ...policies,
  createBestEffortRanks: (options) => ({
    ...policies.createBestEffortRanks(options),
    isChosen: () => true,
  }),
})

/** Starts no task beside tasks of which it is unknown whether they tolerate it. */
const withoutExploration = (policies: TermPolicies): TermPolicies => ({
  ...policies,
  createInterferenceModel: () => ({
    ...policies.createInterferenceModel(),
    mayExplore: () => false,
  }),
})

const withoutMoves = (policies: TermPolicies): TermPolicies => ({
  ...policies,
  createBestEffortPacing: (options) => ({
    ...policies.createBestEffortPacing(options),
    chooseMoves: () => [],
  }),
})

/** Limits moves per group of workers instead of in the whole deployment. */
const movesByGroup = (policies: TermPolicies): TermPolicies => ({
  ...policies,
  createBestEffortPacing: (options) => {
    const pacing = policies.createBestEffortPacing(options)
    const groups = new Map<number, workflowControl.BestEffortPacing>()
    const groupOf = ({ active }: workflowControl.MoveCandidate): number =>
      Math.floor(Number(active.task.worker?.agent.replace(/\D/g, '') ?? 0) / MOVE_GROUP_SIZE)
    return {
      ...pacing,
      chooseMoves: (movable, _, workerSearch) => {
        const numbers = [...new Set(movable.map(groupOf))]
        return numbers.flatMap((number) => {
          const group = groups.get(number) ?? policies.createBestEffortPacing(options)
          groups.set(number, group)
          const inGroup = movable.filter((candidate) => groupOf(candidate) === number)
          return group.chooseMoves(inGroup, MOVE_GROUP_SIZE, workerSearch)
        })
      },
    }
  },
})

/** View in which the reservations on workers count with a share of their CPU. */
const scaleReservations = (
  view: workflowState.WorkflowView,
  share: number,
): workflowState.WorkflowView => ({
  configuration: view.configuration,
  evacuated: view.evacuated,
  evacuationRevisions: view.evacuationRevisions,
  jobs: view.jobs,
  readySteps: view.readySteps,
  get loads() {
    return new Map(
      [...view.loads].map(([key, load]) => [key, { ...load, cpuMillis: load.cpuMillis * share }]),
    )
  },
})

/** Plans latency-critical steps unchanged, then best-effort steps with scaled reservations. */
const planWithScaledReservations =
  (plan: typeof scheduling.planAssignments, share: number): typeof scheduling.planAssignments =>
  (input) => {
    const latencyCritical = plan({ ...input, skipBestEffort: true })
    if (input.skipBestEffort === true) return latencyCritical
    const view = scaleReservations(input.view, share)
    const readySteps = new Set([...view.readySteps].filter(({ spec }) => spec.filling))
    const bestEffort = plan({
      ...input,
      view: { ...view, readySteps },
      maxAssignments: input.maxAssignments - latencyCritical.assignments.length,
    })
    return {
      workers: [...new Set([...latencyCritical.workers, ...bestEffort.workers])],
      assignments: [...latencyCritical.assignments, ...bestEffort.assignments],
      tasksLookedAt: latencyCritical.tasksLookedAt + bestEffort.tasksLookedAt,
      workersLookedAt: latencyCritical.workersLookedAt + bestEffort.workersLookedAt,
    }
  }

const placeByAssumedUse =
  (share: number) =>
  (policies: TermPolicies): TermPolicies => ({
    ...policies,
    planAssignments: planWithScaledReservations(policies.planAssignments, share),
    createBestEffortWorkerSearch: (input) =>
      policies.createBestEffortWorkerSearch({
        ...input,
        view: scaleReservations(input.view, share),
      }),
  })

const rankByAssumedUse =
  (share: number) =>
  (policies: TermPolicies): TermPolicies => ({
    ...policies,
    createBestEffortRanks: (options) => {
      const ranks = policies.createBestEffortRanks({
        ...options,
        view: scaleReservations(options.view, share),
      })
      return ranks
    },
  })

/** Paces best-effort tasks (share of full speed) by the CPU that is left when reservations count with a share. */
const paceByAssumedUse =
  (share: number) =>
  (policies: TermPolicies): TermPolicies => ({
    ...policies,
    createBestEffortPacing: (options) =>
      policies.createBestEffortPacing({
        ...options,
        leftCpuMillis: (session) => {
          const capacity = session.worker?.capacity?.cpuMillis ?? 0
          return capacity - (capacity - options.leftCpuMillis(session)) * share
        },
      }),
  })

const combineChanges =
  (...changes: readonly Variant['change'][]) =>
  (policies: TermPolicies): TermPolicies =>
    changes.reduce((changed, change) => change(changed), policies)

const assumeUseEverywhere = (share: number): Variant['change'] =>
  combineChanges(placeByAssumedUse(share), rankByAssumedUse(share), paceByAssumedUse(share))

export const VARIANTS: readonly Variant[] = [
  { name: 'as it is', change: (policies) => policies },
  { name: 'no ranks', change: firstComeFirstServed },
  { name: 'all may disturb', change: allowAllInterference },
  { name: 'no exploration', change: withoutExploration },
  { name: 'no moves', change: withoutMoves },
  { name: 'moves by group', change: movesByGroup },
  { name: 'place by use', change: placeByAssumedUse(ASSUMED_USE_SHARE) },
  { name: 'rank by use', change: rankByAssumedUse(ASSUMED_USE_SHARE) },
  { name: 'pace by use', change: paceByAssumedUse(ASSUMED_USE_SHARE) },
  { name: 'use everywhere', change: assumeUseEverywhere(ASSUMED_USE_SHARE) },
  { name: 'admission queue-delay', change: (policies) => policies, admission: 'queue-delay' },
  { name: 'admission gradient', change: (policies) => policies, admission: 'gradient' },
  {
    name: 'admission expected-completion',
    change: (policies) => policies,
    admission: 'expected-completion',
  },
  { name: 'reservations not counted', change: assumeUseEverywhere(0) },
]

export const policiesOf = ({ change }: Variant): TermPolicies =>
  change(workflowControl.DEFAULT_TERM_POLICIES)
