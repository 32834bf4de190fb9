/** Arriving jobs of a scenario; they depend on the seed, not on the policy. */
import * as randoms from '../random.js'
import type * as data from './data.js'

export interface ArrivingJob {
  readonly atMs: number
  readonly job: string
  readonly kind: data.Kind
  readonly tasks: number
  readonly urgent: boolean
}

/** Actual needs of a task, which may differ from what its job declares. */
export interface TrueSize {
  readonly cpuMillis: number
  readonly memoryMb: number
  readonly runMs: number
}

const TASKS_PER_JOB = 4

const pickKind = (deployment: data.Deployment, random: randoms.Random): data.Kind => {
  const total = deployment.kinds.reduce((sum, { mix }) => sum + mix, 0)
  let remainingMix = random() * total
  const found = deployment.kinds.find(({ mix }) => (remainingMix -= mix) <= 0)
  return found ?? deployment.noisyKind
}

/** Work of a median task in core milliseconds. */
const workOf = (kind: data.Kind): number => (kind.cpuMillis / 1000) * kind.runMs

export const createArrivals = (
  deployment: data.Deployment,
  scenario: data.Scenario,
  seed: number,
): readonly ArrivingJob[] => {
  const random = randoms.createRandom(seed, 'arrivals')
  const { capacity, service, workers } = deployment
  const cores = (capacity.cpuMillis * workers - service.cpuMillis * service.runners) / 1000
  const totalWork = cores * scenario.durationMs * scenario.batchDemand
  const jobs: ArrivingJob[] = []
  // A third of the work is queued at the start; the rest arrives evenly over the run.
  for (let createdWork = 0; createdWork < totalWork;) {
    const kind = pickKind(deployment, random)
    const atMs = Math.max(0, (createdWork / totalWork - 1 / 3) * 1.5 * scenario.durationMs)
    const job = `${kind.kind}-${jobs.length}`
    jobs.push({ atMs, job, kind, tasks: TASKS_PER_JOB, urgent: false })
    createdWork += workOf(kind) * TASKS_PER_JOB
  }
  const urgent = (scenario.urgentPerMinute * scenario.durationMs) / 60_000
  for (let n = 0; n < urgent; n += 1) {
    const kind = pickKind(deployment, random)
    const atMs = random() * scenario.durationMs
    jobs.push({ atMs, job: `urgent-${n}`, kind, tasks: 1, urgent: true })
  }
  scenario.noiseWaves.forEach(([atMs, tasks], n) => {
    jobs.push({ atMs, job: `noise-${n}`, kind: deployment.noisyKind, tasks, urgent: false })
  })
  return jobs.sort((a, b) => a.atMs - b.atMs)
}

/** Actual size of a task; depends only on the scenario, the kind, the task and the seed, not on the policy. */
export const trueSizeOf = (
  scenario: data.Scenario,
  kind: data.Kind,
  task: string,
  seed: number,
): TrueSize => {
  const random = randoms.createRandom(seed, `size/${task}`)
  const drawErrorFactor = (factor: number): number => factor ** (2 * random() - 1)
  const size = drawErrorFactor(scenario.wrongSizes)
  return {
    cpuMillis: kind.cpuMillis * size,
    memoryMb: kind.memoryMb * 0.7 * drawErrorFactor(scenario.wrongSizes),
    runMs: kind.runMs * drawErrorFactor(scenario.wrongRunTimes),
  }
}
