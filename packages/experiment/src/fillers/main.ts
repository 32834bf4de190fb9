/** `npm run experiment:fillers`: policies of filling jobs on simulated days, as a table by policy and seed. */
import * as util from 'node:util'
import * as simulation from './simulation.js'
import * as variants from './variants.js'

/** Workers from which a deployment counts as large: its filling jobs are wider. */
const LARGE_WORKERS = 30

const SMALL_WIDTH = 8
const LARGE_WIDTH = 20
const SMALL_SPREAD = 0.3
const LARGE_SPREAD = 0.6

const { values } = util.parseArgs({
  options: {
    seeds: { type: 'string', default: '5' },
    workers: { type: 'string', default: '61' },
    /** Part of a variant's name; all variants if empty. */
    variant: { type: 'string', default: '' },
    cores: { type: 'string', default: '16' },
    demand: { type: 'string', default: '0.4' },
    reserved: { type: 'string', default: '0.9' },
    /** Tasks in a step; by the number of workers if 0. */
    width: { type: 'string', default: '0' },
    seconds: { type: 'string', default: '50' },
  },
})

const SHARES = ['waiting', 'starting', 'paused', 'slowed', 'shared', 'working'] as const

const percent = (share: number): string => `${Math.round(100 * share)}`

const rowOf = (name: string, seed: string, day: simulation.Day): string =>
  [
    name,
    seed,
    day.fillingWorth.toFixed(3),
    day.lastingWorth.toFixed(3),
    Math.round(day.firstTaskMs),
    `${day.completed.toFixed(0)}/${day.owed.toFixed(0)}`,
    ...SHARES.map((what) => percent(day.fillerShares[what])),
    day.workingPerWorker.toFixed(2),
    percent(day.usefulShare),
  ].join(' | ')

const mean = (numbers: readonly number[]): number =>
  numbers.reduce((sum, one) => sum + one, 0) / Math.max(1, numbers.length)

const meanDay = (days: readonly simulation.Day[]): simulation.Day => {
  const of = (get: (day: simulation.Day) => number): number => mean(days.map(get))
  return {
    fillingWorth: of((day) => day.fillingWorth),
    lastingWorth: of((day) => day.lastingWorth),
    firstTaskMs: of((day) => day.firstTaskMs),
    owed: of((day) => day.owed),
    completed: of((day) => day.completed),
    fillerShares: {
      waiting: of((day) => day.fillerShares.waiting),
      starting: of((day) => day.fillerShares.starting),
      paused: of((day) => day.fillerShares.paused),
      slowed: of((day) => day.fillerShares.slowed),
      shared: of((day) => day.fillerShares.shared),
      working: of((day) => day.fillerShares.working),
      lost: of((day) => day.fillerShares.lost),
    },
    workingPerWorker: of((day) => day.workingPerWorker),
    usefulShare: of((day) => day.usefulShare),
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
]

const write = (line: string): void => {
  process.stdout.write(`| ${line} |\n`)
}

const chosen = variants.VARIANTS.filter(({ name }) => name.includes(values.variant))
for (const workers of values.workers.split(',').map(Number)) {
  const isLarge = workers >= LARGE_WORKERS
  const width = Number(values.width) || (isLarge ? LARGE_WIDTH : SMALL_WIDTH)
  process.stdout.write(
    `\n### ${workers} workers, width ${width}, demand ${values.demand}, reserved ${values.reserved}\n\n`,
  )
  write(HEADER.join(' | '))
  write(HEADER.map(() => '---').join(' | '))
  for (const variant of chosen) {
    const days: simulation.Day[] = []
    for (let seed = 1; seed <= Number(values.seeds); seed += 1) {
      const day = await simulation.simulateDay({
        seed,
        workers,
        cores: values.cores === '32' ? 32 : 16,
        width,
        widthSpread: isLarge ? LARGE_SPREAD : SMALL_SPREAD,
        demand: Number(values.demand),
        reserved: Number(values.reserved),
        trafficMs: Number(values.seconds) * 1_000,
        variant,
      })
      days.push(day)
      write(rowOf(variant.name, String(seed), day))
    }
    write(rowOf(variant.name, 'mean', meanDay(days)))
  }
}
