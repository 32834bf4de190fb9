/** `npm run experiment:fillers`: compares policies for best-effort jobs on simulated days, by policy and seed. */
import * as util from 'node:util'
import * as simulation from './simulation.js'
import * as variants from './variants.js'

/** Workers from which a deployment counts as large; its best-effort jobs have more tasks per step. */
const LARGE_DEPLOYMENT_WORKERS = 30

const SMALL_WIDTH = 8
const LARGE_WIDTH = 20
const SMALL_SPREAD = 0.3
const LARGE_SPREAD = 0.6

const { values } = util.parseArgs({
  options: {
    seeds: { type: 'string', default: '5' },
    workers: { type: 'string', default: '61' },
    /** Substring of the names of the variants to run; all if empty. */
    variant: { type: 'string', default: '' },
    cores: { type: 'string', default: '16' },
    demand: { type: 'string', default: '0.4' },
    reserved: { type: 'string', default: '0.9' },
    /** Tasks in a step; depends on the number of workers if 0. */
    width: { type: 'string', default: '0' },
    seconds: { type: 'string', default: '50' },
    /** Share of the tasks that take seven times as long. */
    tail: { type: 'string', default: '0' },
    /** Deviation of the logarithm of actual to estimated duration of short latency-critical steps. */
    spread: { type: 'string', default: '0' },
    /** Seconds after the traffic in which jobs may still complete. */
    cooldown: { type: 'string', default: '10' },
    /** Models of task durations to compare, separated by commas. */
    durations: { type: 'string', default: 'mean' },
    /** Seconds between drains of workers; 0 for none. */
    drains: { type: 'string', default: '0' },
    /** Workers at a fifth of the speed. */
    slow: { type: 'string', default: '0' },
    /** Factors of the arrival rate, separated by commas. */
    load: { type: 'string', default: '1' },
    /** Kind of jobs to which the factors apply, "serving" or "filling"; both if empty. */
    loadKind: { type: 'string', default: '' },
  },
})

const loadKinds = ['serving', 'filling'] as const
const loadKind = loadKinds.find((kind) => kind === values.loadKind)

const SHARES = ['waiting', 'starting', 'paused', 'slowed', 'shared', 'working'] as const

const percent = (share: number): string => `${Math.round(100 * share)}`

const round = (number: number): string => number.toFixed(0)

const rowOf = (name: string, seed: string, day: simulation.DayResult): string =>
  [
    name,
    seed,
    day.bestEffortValue.toFixed(3),
    day.longRunningValue.toFixed(3),
    Math.round(day.firstTaskMs),
    `${day.completed.toFixed(0)}/${day.eligible.toFixed(0)}`,
    ...SHARES.map((what) => percent(day.bestEffortTimeShares[what])),
    day.fullSpeedTasksPerWorker.toFixed(2),
    percent(day.onTimeWorkShare),
    ...[day.callers.serving, day.callers.filling].map(({ inTime, late, open }) =>
      [inTime, late, open].map(round).join('/'),
    ),
    `${round(day.wronglyQuarantined)}/${round(day.rightlyQuarantined)}`,
    round(day.discardedCoreSeconds),
    day.bestEffortGoodput.toFixed(3),
    day.shortGoodput.toFixed(2),
    day.shortValue.toFixed(3),
    [day.inTime, day.late, day.worthless, day.refused].map((count) => count.toFixed(0)).join('/'),
    day.refusals.toFixed(0),
    Math.round(day.badNewsMs),
    day.completionRatio.toFixed(2),
  ].join(' | ')

const mean = (numbers: readonly number[]): number =>
  numbers.reduce((sum, one) => sum + one, 0) / Math.max(1, numbers.length)

const meanDay = (days: readonly simulation.DayResult[]): simulation.DayResult => {
  const meanOf = (get: (day: simulation.DayResult) => number): number => mean(days.map(get))
  const meanCallers = (kind: 'serving' | 'filling'): simulation.CallerResult => ({
    inTime: meanOf(({ callers }) => callers[kind].inTime),
    late: meanOf(({ callers }) => callers[kind].late),
    open: meanOf(({ callers }) => callers[kind].open),
  })
  return {
    bestEffortValue: meanOf((day) => day.bestEffortValue),
    longRunningValue: meanOf((day) => day.longRunningValue),
    firstTaskMs: meanOf((day) => day.firstTaskMs),
    eligible: meanOf((day) => day.eligible),
    completed: meanOf((day) => day.completed),
    bestEffortTimeShares: {
      waiting: meanOf((day) => day.bestEffortTimeShares.waiting),
      starting: meanOf((day) => day.bestEffortTimeShares.starting),
      paused: meanOf((day) => day.bestEffortTimeShares.paused),
      slowed: meanOf((day) => day.bestEffortTimeShares.slowed),
      shared: meanOf((day) => day.bestEffortTimeShares.shared),
      working: meanOf((day) => day.bestEffortTimeShares.working),
      lost: meanOf((day) => day.bestEffortTimeShares.lost),
    },
    fullSpeedTasksPerWorker: meanOf((day) => day.fullSpeedTasksPerWorker),
    onTimeWorkShare: meanOf((day) => day.onTimeWorkShare),
    callers: { serving: meanCallers('serving'), filling: meanCallers('filling') },
    wronglyQuarantined: meanOf((day) => day.wronglyQuarantined),
    rightlyQuarantined: meanOf((day) => day.rightlyQuarantined),
    discardedCoreSeconds: meanOf((day) => day.discardedCoreSeconds),
    bestEffortGoodput: meanOf((day) => day.bestEffortGoodput),
    shortGoodput: meanOf((day) => day.shortGoodput),
    shortValue: meanOf((day) => day.shortValue),
    inTime: meanOf((day) => day.inTime),
    late: meanOf((day) => day.late),
    worthless: meanOf((day) => day.worthless),
    refused: meanOf((day) => day.refused),
    refusals: meanOf((day) => day.refusals),
    badNewsMs: meanOf((day) => day.badNewsMs),
    completionRatio: meanOf((day) => day.completionRatio),
  }
}

const HEADER = [
  'policy',
  'seed',
  'filling worth',
  'lasting worth',
  'first task ms',
  'completed',
  ...SHARES.map((what) => `${what} %`),
  'full-speed tasks per worker',
  'work in time %',
  'serving in time/late/open',
  'filling in time/late/open',
  'quarantined wrongly/rightly',
  'core-seconds discarded',
  'filling goodput/s',
  'serving goodput/s',
  'serving worth',
  'in time/late/worthless/refused',
  'refusals',
  'bad news ms',
  'actual/expected end',
]

const writeRow = (line: string): void => {
  process.stdout.write(`| ${line} |\n`)
}

const selectedVariants = variants.VARIANTS.filter(({ name }) => name.includes(values.variant))
const comparisons = selectedVariants.flatMap((variant) =>
  values.durations
    .split(',')
    .map((model) => [variant, model === 'quantile' ? 'quantile' : 'mean'] as const),
)

const nameOf = ({ name }: variants.Variant, durationModel: string): string =>
  durationModel === 'mean' ? name : `${name}, ${durationModel}`

for (const workers of values.workers.split(',').map(Number)) {
  const isLarge = workers >= LARGE_DEPLOYMENT_WORKERS
  const width = Number(values.width) || (isLarge ? LARGE_WIDTH : SMALL_WIDTH)
  for (const loadFactor of values.load.split(',').map(Number)) {
    process.stdout.write(
      `\n### ${workers} workers, width ${width}, demand ${values.demand}, reserved ${values.reserved}, load ${loadFactor} ${values.loadKind}\n\n`,
    )
    writeRow(HEADER.join(' | '))
    writeRow(HEADER.map(() => '---').join(' | '))
    for (const [variant, durationModel] of comparisons) {
      const days: simulation.DayResult[] = []
      for (let seed = 1; seed <= Number(values.seeds); seed += 1) {
        const day = await simulation.simulateDay({
          seed,
          workers,
          cores: values.cores === '32' ? 32 : 16,
          width,
          widthSpread: isLarge ? LARGE_SPREAD : SMALL_SPREAD,
          demand: Number(values.demand),
          reserved: Number(values.reserved),
          loadFactor,
          loadKind,
          trafficMs: Number(values.seconds) * 1_000,
          variant,
          durationModel,
          coolDownMs: Number(values.cooldown) * 1_000,
          tailShare: Number(values.tail),
          estimateSpread: Number(values.spread),
          drainIntervalMs: Number(values.drains) * 1_000,
          slowWorkers: Number(values.slow),
        })
        days.push(day)
        writeRow(rowOf(nameOf(variant, durationModel), String(seed), day))
      }
      writeRow(rowOf(nameOf(variant, durationModel), 'mean', meanDay(days)))
    }
  }
}
