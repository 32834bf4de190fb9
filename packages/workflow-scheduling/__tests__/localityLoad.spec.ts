/** Compares the locality policies on several hundred tasks on four racks, over several seeds. */
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as vitest from 'vitest'
import * as localityPlay from './localityPlay.js'
import * as support from './support.js'

const { describe, expect, it } = vitest

const SEEDS = [1, 2, 3, 4, 5]
const RACK_COUNT = 4
const WORKERS_PER_RACK = 4
const SLOTS_PER_WORKER = 4
const JOB_COUNT = 60
const TASKS_PER_JOB = 8
const MEAN_MS = 1_000
const SPREAD = 0.5

interface Load {
  /** Offered work on near workers, as a share of the capacity. */
  readonly share: number
  /** Share of the jobs whose data is in the first rack; the others are uniform. */
  readonly hotShare: number
}

interface Figures {
  readonly meanMs: number
  readonly p95Ms: number
  readonly inTime: number
  readonly remote: number
}

/** Seeded random numbers from 0 to 1 (mulberry32). */
const createRandom = (seed: number) => {
  let state = seed >>> 0
  return (): number => {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32
  }
}

/** Log-normal duration with a mean of `MEAN_MS`. */
const drawDuration = (random: () => number): number => {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
  return MEAN_MS * Math.exp(SPREAD * normal - SPREAD ** 2 / 2)
}

const drawJobs = (seed: number, { share, hotShare }: Load): readonly localityPlay.PlayedJob[] => {
  const random = createRandom(seed)
  const slots = RACK_COUNT * WORKERS_PER_RACK * SLOTS_PER_WORKER
  const gapMs = (TASKS_PER_JOB * MEAN_MS) / (slots * share)
  let atMs = 0
  return Array.from({ length: JOB_COUNT }, (_, index) => {
    atMs += -Math.log(1 - random()) * gapMs
    const rack = random() < hotShare ? 0 : Math.floor(random() * RACK_COUNT)
    const durationsMs = Array.from({ length: TASKS_PER_JOB }, () => drawDuration(random))
    return {
      id: `j${index}`,
      atMs,
      step: { dataRack: `r${rack}`, estimatedMs: MEAN_MS },
      durationsMs,
    }
  })
}

const WORKERS = Array.from({ length: RACK_COUNT * WORKERS_PER_RACK }, (_, index) =>
  support.worker(`w${index}`, {
    rack: `r${Math.floor(index / WORKERS_PER_RACK)}`,
    capacity: { cpuMillis: SLOTS_PER_WORKER * 1_000, memoryMb: 10_000, accelerators: 0 },
  }),
)

const meanOf = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length

const playSeed = (
  seed: number,
  load: Load,
  remoteFactor: number,
  policy: scheduling.LocalityPolicy | undefined,
): Figures => {
  const jobs = drawJobs(seed, load)
  const results = [
    ...localityPlay.play({ workers: WORKERS, jobs, policy, remoteFactor }).jobs.values(),
  ]
  const completionsMs = results.map(({ completionMs }) => completionMs).sort((a, b) => a - b)
  return {
    meanMs: meanOf(completionsMs),
    p95Ms: completionsMs[Math.floor(completionsMs.length * 0.95)] ?? Number.NaN,
    inTime: results.filter(({ inTime }) => inTime).length / jobs.length,
    remote:
      results.reduce((sum, { remoteTasks }) => sum + remoteTasks, 0) /
      (jobs.length * TASKS_PER_JOB),
  }
}

const POLICIES = {
  off: undefined,
  never: scheduling.createNeverWaitPolicy(),
  expected: scheduling.createExpectedTimePolicy(),
  fixed500: scheduling.createFixedWaitPolicy(500),
  fixed1000: scheduling.createFixedWaitPolicy(1_000),
  fixed3000: scheduling.createFixedWaitPolicy(3_000),
  skipped10: scheduling.createSkippedOffersPolicy(10),
  skipped40: scheduling.createSkippedOffersPolicy(40),
} as const

type PolicyName = keyof typeof POLICIES

const figuresOf = (load: Load, remoteFactor: number): Readonly<Record<PolicyName, Figures>> => {
  const entries = (Object.keys(POLICIES) as PolicyName[]).map((name) => {
    const played = SEEDS.map((seed) => playSeed(seed, load, remoteFactor, POLICIES[name]))
    const figures: Figures = {
      meanMs: Math.round(meanOf(played.map(({ meanMs }) => meanMs))),
      p95Ms: Math.round(meanOf(played.map(({ p95Ms }) => p95Ms))),
      inTime: Number(meanOf(played.map(({ inTime }) => inTime)).toFixed(3)),
      remote: Number(meanOf(played.map(({ remote }) => remote)).toFixed(3)),
    }
    return [name, figures] as const
  })
  return Object.fromEntries(entries) as Record<PolicyName, Figures>
}

describe('played load', () => {
  it.each([
    { name: 'low load', load: { share: 0.3, hotShare: 0 }, remoteFactor: 1.5 },
    { name: 'medium load', load: { share: 0.65, hotShare: 0 }, remoteFactor: 1.5 },
    { name: 'a hot rack', load: { share: 0.5, hotShare: 0.5 }, remoteFactor: 1.5 },
    { name: 'low load', load: { share: 0.3, hotShare: 0 }, remoteFactor: 3 },
    { name: 'medium load', load: { share: 0.65, hotShare: 0 }, remoteFactor: 3 },
    { name: 'a hot rack', load: { share: 0.5, hotShare: 0.5 }, remoteFactor: 3 },
  ])(
    'guards against waits that cost more than they save: $name, remote runs $remoteFactor times as long',
    ({ name, load, remoteFactor }) => {
      const figures = figuresOf(load, remoteFactor)
      const lines = Object.entries(figures).map(
        ([policy, { meanMs, p95Ms, inTime, remote }]) =>
          `${name}, factor ${remoteFactor}, ${policy}: mean ${meanMs} ms, p95 ${p95Ms} ms, in time ${inTime}, remote ${remote}`,
      )
      process.stdout.write(`${lines.join('\n')}\n`)
      expect(figures.expected.meanMs).toBeLessThan(figures.never.meanMs)
      expect(figures.expected.inTime).toBeGreaterThanOrEqual(figures.never.inTime)
    },
    60_000,
  )
})
