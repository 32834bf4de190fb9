import * as fc from 'fast-check'
import * as engine from './engine.js'

export interface RandomOptions {
  readonly seed: number
  readonly runs: number
  /** Number of actions in one run. */
  readonly steps: number
}

/** Follows random runs and returns a violation; a failing run is shrunk to a shorter counterexample. */
export const randomRuns = <State, Action>(
  model: engine.Model<State, Action>,
  options: RandomOptions,
): engine.Violation | undefined => {
  const choice = fc.nat({ max: 1_000_000 })
  const choices = fc.array(choice, { minLength: options.steps, maxLength: options.steps })
  const property = fc.property(choices, (run) => engine.walk(model, run) === undefined)
  const outcome = fc.check(property, { seed: options.seed, numRuns: options.runs })
  const failing = outcome.counterexample?.[0]
  return failing && engine.walk(model, failing)
}
