/** Runs every policy in every scenario with every seed and compares the results. */
import * as statistics from '../report/statistics.js'
import type * as data from './data.js'
import * as policies from './policies.js'
import * as simulation from './simulation.js'

export interface PolicyResult {
  readonly policy: policies.Policy
  /** One run per seed, in the order of the seeds. */
  readonly runs: readonly simulation.RunResult[]
}

export interface ScenarioResult {
  readonly deployment: data.Deployment
  readonly scenario: data.Scenario
  readonly results: readonly PolicyResult[]
}

export interface Measure {
  readonly name: string
  readonly digits: number
  readonly better: 'lower' | 'higher'
  readonly read: (run: simulation.RunResult, withoutBatch: simulation.RunResult) => number
}

export const MEASURES: readonly Measure[] = [
  { name: 'tail p99 ms', digits: 1, better: 'lower', read: (run) => run.p99Ms },
  {
    name: 'tail / no batch',
    digits: 2,
    better: 'lower',
    read: (run, withoutBatch) => run.p99Ms / withoutBatch.p99Ms,
  },
  { name: 'throughput core s/s', digits: 1, better: 'higher', read: (run) => run.throughput },
  { name: 'evictions', digits: 1, better: 'lower', read: (run) => run.evictions },
  {
    name: 'work over domain leave core s',
    digits: 0,
    better: 'higher',
    read: (run) => run.domainOutageWork,
  },
  { name: 'longest urgent start s', digits: 1, better: 'lower', read: (run) => run.urgentStartS },
  { name: 'failed attempts', digits: 0, better: 'lower', read: (run) => run.failures },
]

/** Measures in which the production policy is compared with the baselines. */
const COMPARED = [
  'tail p99 ms',
  'throughput core s/s',
  'evictions',
  'work over domain leave core s',
]

/** Standard errors of the paired difference above which a difference counts as significant. */
const SIGNIFICANT_STANDARD_ERRORS = 2

export const runScenario = (
  deployment: data.Deployment,
  scenario: data.Scenario,
  seeds: readonly number[],
): ScenarioResult => {
  const results = policies.POLICIES.map((policy) => ({
    policy,
    runs: seeds.map((seed) => simulation.runSimulation({ deployment, scenario, policy, seed })),
  }))
  return { deployment, scenario, results }
}

const referenceRunsOf = (result: ScenarioResult): readonly simulation.RunResult[] =>
  result.results.find(({ policy }) => policy.group === 'no batch')?.runs ?? []

export const valuesOf = (
  result: ScenarioResult,
  { runs }: PolicyResult,
  measure: Measure,
): readonly number[] => {
  const referenceRuns = referenceRunsOf(result)
  return runs.map((run, seed) => measure.read(run, referenceRuns[seed] ?? run))
}

export interface Comparison {
  readonly deployment: string
  readonly scenario: string
  readonly measure: string
  readonly baseline: string
  readonly ours: number
  readonly theirs: number
  /** False if the difference is within two standard errors over the seeds. */
  readonly isSignificant: boolean
}

/** Baselines that are better than the production policy on a measure. */
export const findBetterBaselines = (result: ScenarioResult): readonly Comparison[] => {
  const ours = result.results.find(({ policy }) => policy.group === 'ours')
  const baselines = result.results.filter(({ policy }) => policy.group === 'baseline')
  if (ours === undefined) return []
  const measures = MEASURES.filter(({ name }) => COMPARED.includes(name))
  return measures.flatMap((measure) =>
    baselines.flatMap((baseline) => {
      const a = valuesOf(result, baseline, measure)
      const b = valuesOf(result, ours, measure)
      const { difference, error } = statistics.comparePairs(a, b)
      const gain = measure.better === 'lower' ? -difference : difference
      if (gain <= 0) return []
      return {
        deployment: result.deployment.name,
        scenario: result.scenario.name,
        measure: measure.name,
        baseline: baseline.policy.name,
        ours: statistics.spreadOf(b).mean,
        theirs: statistics.spreadOf(a).mean,
        isSignificant: gain > SIGNIFICANT_STANDARD_ERRORS * error,
      }
    }),
  )
}

export interface PartEffect {
  readonly part: string
  readonly measure: string
  /** Scenarios in which the production policy is significantly better and worse than the other policy. */
  readonly helps: readonly string[]
  readonly hurts: readonly string[]
}

const effectOf = (
  result: ScenarioResult,
  part: string,
  measure: Measure,
): 'helps' | 'hurts' | 'none' => {
  const ours = result.results.find(({ policy }) => policy.group === 'ours')
  const without = result.results.find(({ policy }) => policy.name === part)
  if (ours === undefined || without === undefined) return 'none'
  const a = valuesOf(result, ours, measure)
  const b = valuesOf(result, without, measure)
  const { difference, error } = statistics.comparePairs(a, b)
  const gain = measure.better === 'lower' ? -difference : difference
  if (Math.abs(gain) <= SIGNIFICANT_STANDARD_ERRORS * error) return 'none'
  return gain > 0 ? 'helps' : 'hurts'
}

/** Scenarios in which each part of the policy significantly helps or hurts, by measure. */
export const findPartEffects = (results: readonly ScenarioResult[]): readonly PartEffect[] => {
  const groups = ['part off', 'baseline']
  const parts = policies.POLICIES.filter(({ group }) => groups.includes(group))
  return parts.flatMap(({ name: part }) =>
    MEASURES.map((measure) => {
      const found = (wanted: string): readonly string[] =>
        results
          .filter((result) => effectOf(result, part, measure) === wanted)
          .map(({ deployment, scenario }) => `${deployment.name}/${scenario.name}`)
      return { part, measure: measure.name, helps: found('helps'), hurts: found('hurts') }
    }),
  )
}
