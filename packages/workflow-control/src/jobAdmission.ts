/**
 * Admission of new jobs in one term: collects the load of each service for the policy. Its state is soft; a new leader
 * starts without it and accepts until it has lists from most workers.
 */
import type * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import type * as workflowState from '@ebonyweir/workflow-state'
import type * as admissionCounter from './admissionCounter.js'
import * as admittedJobs from './admittedJobs.js'
import type * as bestEffortRanks from './bestEffortRanks.js'
import * as reservedLoad from './reservedLoad.js'
import type * as schedulingOptions from './schedulingOptions.js'
import type * as workStatistics from './workStatistics.js'

/** Age from which the load is collected anew, in milliseconds: half the interval of the workers' run lists. */
const REFRESH_MS = 200

/** Pause after a collection as a multiple of its duration: collections then take at most a tenth of the event loop. */
const PAUSE_FACTOR = 9

/** Time after the start of a term in which jobs are accepted, in milliseconds; most agents attach within a second. */
const MIN_TERM_AGE_MS = 2_000

/** Share of the known workers whose lists a refusal needs. */
const LISTED_SHARE = 0.5

/** Limit on labels whose capacity is collected; jobs that require other labels are accepted. */
const MAX_LABELS = 64

export interface JobAdmissionOptions {
  readonly policy: scheduling.AdmissionPolicy
  /** Whether the policy uses the load; without it, nothing is collected. */
  readonly usesLoad: boolean
  readonly view: workflowState.WorkflowView
  readonly expected: scheduling.Durations
  readonly nowMs: () => number
  readonly timeOfDayMs: () => number
  /** Progress of a task in percent. */
  readonly percentOf: (run: protocol.workflow.TaskRun) => number
  readonly eligibleWorkers: () => readonly scheduling.PlacementWorker[]
  /** Number of attached agents, with or without a list. */
  readonly sessionCount: () => number
  readonly bestEffortLoadOf: bestEffortRanks.BestEffortRanks['loadOf']
  readonly work: Pick<workStatistics.WorkStatistics, 'measure'>
  readonly counter: admissionCounter.AdmissionCounter
}

export interface JobAdmission {
  /** Decides on a submission and counts the decision. */
  readonly admit: (request: scheduling.AdmissionRequest) => scheduling.Admission
}

/** Part of the load of a service that is collected periodically. */
interface Snapshot {
  readonly atMs: number
  readonly timeOfDayMs: number
  readonly open: scheduling.OpenReservedWork[]
  readonly capacity: scheduling.ReservedCapacity
  readonly capacityOfLabel: ReadonlyMap<string, scheduling.ReservedCapacity>
  readonly queues: Map<string, scheduling.QueueLoad>
}

interface CapacityTrends {
  readonly cpuMillis: scheduling.CapacityTrend
  readonly memoryMb: scheduling.CapacityTrend
}

interface SupplyTrend {
  readonly trend: scheduling.CapacityTrend
  readonly atMs: number
  readonly supply: scheduling.Bounds
}

const createTrends = (): CapacityTrends => ({
  cpuMillis: scheduling.createCapacityTrend(),
  memoryMb: scheduling.createCapacityTrend(),
})

const NO_QUEUE_LOAD: scheduling.QueueLoad = {
  openJobs: 0,
  oldestWaitMs: 0,
  oldestObjectiveMs: 0,
  meanStretch: undefined,
}

const append = (open: scheduling.OpenReservedWork[], work: scheduling.OpenReservedWork): void => {
  open.push(work)
}

const isLongRunning = ({ steps, repetitions }: protocol.workflow.JobSpec): boolean =>
  repetitions > 0 || steps.some(({ lasting }) => lasting)

/** Creates the policy of the given name. */
export const createAdmissionPolicy = (
  name: schedulingOptions.AdmissionPolicyName,
): scheduling.AdmissionPolicy => {
  switch (name) {
    case 'expected-completion':
      return scheduling.createExpectedCompletion()
    case 'queue-delay':
      return scheduling.createQueueDelay()
    case 'gradient':
      return scheduling.createGradient()
    default:
      return scheduling.createAcceptAll()
  }
}

export const createJobAdmission = (options: JobAdmissionOptions): JobAdmission => {
  const { policy, view, expected, nowMs, counter } = options
  const startedMs = nowMs()
  const admitted = admittedJobs.createAdmittedJobs({ view, expected, counter })
  /** Trends by service and label; the label is empty for all workers of the service. */
  const trends = new Map<string, Map<string, CapacityTrends>>()
  const supplies = new Map<string, SupplyTrend>()
  let snapshots = new Map<string, Snapshot>()
  let isSettled = false
  let collectedMs = Number.NEGATIVE_INFINITY
  let pauseMs = 0

  const capacityOf = (
    service: string,
    label: string,
    workers: readonly scheduling.PlacementWorker[],
  ): scheduling.ReservedCapacity => {
    const ofService = trends.get(service) ?? new Map<string, CapacityTrends>()
    trends.set(service, ofService)
    const trend = ofService.get(label) ?? createTrends()
    ofService.set(label, trend)
    const labelled = workers.filter(
      ({ description }) => label === '' || description.labels.includes(label),
    )
    const free = reservedLoad.freeResourcesOf(view, labelled)
    const now = nowMs()
    return {
      cpuMillis: trend.cpuMillis.observe(free.cpuMillis, now),
      memoryMb: trend.memoryMb.observe(free.memoryMb, now),
    }
  }

  const createSnapshot = (
    service: string,
    workers: readonly scheduling.PlacementWorker[],
  ): Snapshot => {
    const ofService = workers.filter(({ description }) => description.service === service)
    const labels = [...(trends.get(service)?.keys() ?? [])].filter((label) => label !== '')
    return {
      atMs: nowMs(),
      timeOfDayMs: options.timeOfDayMs(),
      open: [],
      capacity: capacityOf(service, '', ofService),
      capacityOfLabel: new Map(
        labels.map((label) => [label, capacityOf(service, label, ofService)]),
      ),
      queues: new Map(),
    }
  }

  const addToQueue = (snapshot: Snapshot, job: workflowState.JobView): void => {
    const { name } = job.queue
    const load = snapshot.queues.get(name) ?? {
      ...NO_QUEUE_LOAD,
      meanStretch: admitted.meanStretch(name),
    }
    const waitMs = job.hasRun ? 0 : snapshot.timeOfDayMs - job.submittedMs
    const isOldest = waitMs > load.oldestWaitMs
    const steps = isOldest ? (job.occurrences.get(0)?.steps ?? []) : []
    snapshot.queues.set(name, {
      ...load,
      openJobs: load.openJobs + 1,
      oldestWaitMs: isOldest ? waitMs : load.oldestWaitMs,
      oldestObjectiveMs: isOldest
        ? scheduling.objectiveMs(steps, job.queue, expected)
        : load.oldestObjectiveMs,
    })
  }

  const addJob = (
    snapshot: Snapshot,
    job: workflowState.JobView,
    add: (open: scheduling.OpenReservedWork[], work: scheduling.OpenReservedWork) => void,
  ): void => {
    const { timeOfDayMs } = snapshot
    for (const { steps } of job.occurrences.values()) {
      const work = { expected, percentOf: options.percentOf, timeOfDayMs }
      for (const one of reservedLoad.openWorkOf(steps, work)) add(snapshot.open, one)
    }
    if (!isLongRunning(job.spec)) addToQueue(snapshot, job)
  }

  /** Adds a job that is accepted and not contained in the state from which the snapshot was made. */
  const addAccepted = (snapshot: Snapshot, { spec, queue }: scheduling.AdmissionRequest): void => {
    if (isLongRunning(spec)) return
    const [first] = scheduling.draftSteps(spec, queue, snapshot.timeOfDayMs)
    if (first !== undefined) addJob(snapshot, first.job, reservedLoad.insertOpenWork)
  }

  /** Whether this term has lists from most workers; refusals before would be based on a part of the capacity. */
  const hasMostLists = (eligibleCount: number): boolean => {
    if (nowMs() - startedMs < MIN_TERM_AGE_MS) return false
    return eligibleCount > LISTED_SHARE * Math.max(options.sessionCount(), view.loads.size)
  }

  const collect = (): void => {
    const atMs = nowMs()
    const workers = options.eligibleWorkers()
    const next = new Map<string, Snapshot>()
    const snapshotOf = (service: string): Snapshot => {
      const known = next.get(service) ?? createSnapshot(service, workers)
      next.set(service, known)
      return known
    }
    admitted.sweep(atMs)
    for (const { description } of workers) snapshotOf(description.service)
    for (const job of view.jobs.values()) {
      if (job.phase === 'active') addJob(snapshotOf(job.queue.service), job, append)
    }
    for (const { open } of next.values()) open.sort(reservedLoad.compareOpenWork)
    for (const request of admitted.uncommitted(atMs)) {
      addAccepted(snapshotOf(request.queue.service), request)
    }
    for (const service of trends.keys()) if (!next.has(service)) trends.delete(service)
    for (const service of supplies.keys()) if (!next.has(service)) supplies.delete(service)
    snapshots = next
    isSettled = hasMostLists(workers.length)
    collectedMs = nowMs()
    pauseMs = PAUSE_FACTOR * (collectedMs - atMs)
  }

  const collectIfOutdated = (): void => {
    const ageMs = nowMs() - collectedMs
    if (ageMs >= REFRESH_MS && ageMs >= pauseMs) options.work.measure('admit', collect)
  }

  const bestEffortOf = (service: string): scheduling.BestEffortLoad | undefined => {
    const ranked = options.bestEffortLoadOf(service)
    if (ranked === undefined) return undefined
    const known = supplies.get(service)
    const trend = known?.trend ?? scheduling.createCapacityTrend()
    const supply =
      known?.atMs === ranked.atMs ? known.supply : trend.observe(ranked.supply, ranked.atMs)
    supplies.set(service, { trend, supply, atMs: ranked.atMs })
    const keys = new Set(ranked.jobs.map(({ key }) => key))
    return {
      jobs: [...ranked.jobs, ...admitted.unranked(service, keys, nowMs())],
      selected: ranked.chosen,
      supply,
    }
  }

  /** Lets the next collection include the capacity of the workers with the labels of a job. */
  const requestLabels = (service: string, spec: protocol.workflow.JobSpec): void => {
    const ofService = trends.get(service)
    if (ofService === undefined) return
    for (const { requiredLabel } of spec.steps) {
      if (ofService.size < MAX_LABELS && !ofService.has(requiredLabel)) {
        ofService.set(requiredLabel, createTrends())
      }
    }
  }

  const loadOf = ({
    spec,
    queue,
  }: scheduling.AdmissionRequest): scheduling.ServiceLoad | undefined => {
    if (!options.usesLoad) return undefined
    collectIfOutdated()
    const snapshot = snapshots.get(queue.service)
    if (snapshot === undefined || !isSettled) return undefined
    requestLabels(queue.service, spec)
    const { atMs, timeOfDayMs, open, capacity, capacityOfLabel, queues } = snapshot
    const isBestEffort = spec.steps.some(({ filling }) => filling)
    return {
      atMs,
      timeOfDayMs,
      expected,
      reserved: { open, capacity, capacityOfLabel },
      bestEffort: isBestEffort ? bestEffortOf(queue.service) : undefined,
      queues,
    }
  }

  const recordAccepted = (
    request: scheduling.AdmissionRequest,
    expectedEndMs: number | undefined,
  ): void => {
    admitted.add(request, expectedEndMs, nowMs())
    const snapshot = snapshots.get(request.queue.service)
    if (snapshot === undefined) return
    addAccepted(snapshot, request)
  }

  return {
    admit: (request) => {
      const admission = policy.decide(request, { view, load: loadOf(request) }, nowMs())
      counter.countDecision(admission)
      if (admission.kind === 'accepted' && options.usesLoad) {
        recordAccepted(request, admission.expectedEndMs)
      }
      return admission
    },
  }
}
