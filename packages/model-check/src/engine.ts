import * as crypto from 'node:crypto'

/** Safety property that must hold in every reachable state. */
export interface Invariant<State> {
  readonly name: string
  /** Describes the violation, or returns undefined if the property holds. */
  check(state: State): string | undefined
}

/** Transition system whose states are explored. */
export interface Model<State, Action> {
  readonly name: string
  readonly initial: readonly State[]
  /** Actions that are enabled in a state. */
  actions(state: State): readonly Action[]
  next(state: State, action: Action): State
  /** State key: equal for states with the same future behaviour. */
  key(state: State): string
  describe(action: Action, state: State): string
  readonly invariants: readonly Invariant<State>[]
}

export interface Violation {
  readonly invariant: string
  readonly detail: string
  /** Counterexample: the actions from an initial state to the violation. */
  readonly trace: readonly string[]
}

export interface Exploration {
  readonly states: number
  readonly depth: number
  readonly elapsedMs: number
  /** Whether every reachable state was visited. */
  readonly complete: boolean
  readonly violation: Violation | undefined
}

export interface ExploreOptions {
  /** Number of states after which the exploration stops. */
  readonly maxStates: number
  /** Clock for the elapsed time in the result. */
  readonly nowMs: () => number
}

interface FrontierEntry<State> {
  readonly state: State
  readonly depth: number
  /** Last step of the trace; traces share their earlier steps. */
  readonly step: Step | undefined
}

interface Step {
  readonly text: string
  readonly previous: Step | undefined
}

const toTrace = (step: Step | undefined): readonly string[] => {
  const trace: string[] = []
  for (let at = step; at !== undefined; at = at.previous) trace.unshift(at.text)
  return trace
}

const digest = (key: string): string => crypto.createHash('md5').update(key).digest('base64')

/** Finds the first invariant that does not hold in a state. */
export const findViolation = <State>(
  invariants: readonly Invariant<State>[],
  state: State,
): { readonly invariant: string; readonly detail: string } | undefined => {
  for (const invariant of invariants) {
    const detail = invariant.check(state)
    if (detail !== undefined) return { invariant: invariant.name, detail }
  }
  return undefined
}

/** Explores all reachable states breadth-first, so that a counterexample has the minimum length. */
export const explore = <State, Action>(
  model: Model<State, Action>,
  options: ExploreOptions,
): Exploration => {
  const startedMs = options.nowMs()
  const visitedHashes = new Set<string>()
  let frontier: FrontierEntry<State>[] = []
  let depth = 0

  const finish = (complete: boolean, violation?: Violation): Exploration => ({
    states: visitedHashes.size,
    depth,
    elapsedMs: options.nowMs() - startedMs,
    complete,
    violation,
  })

  const visit = (
    state: State,
    stateDepth: number,
    step: Step | undefined,
  ): Violation | undefined => {
    const key = digest(model.key(state))
    if (visitedHashes.has(key)) return undefined
    visitedHashes.add(key)
    const found = findViolation(model.invariants, state)
    if (found !== undefined) return { ...found, trace: toTrace(step) }
    frontier.push({ state, depth: stateDepth, step })
    return undefined
  }

  for (const state of model.initial) {
    const violation = visit(state, 0, undefined)
    if (violation !== undefined) return finish(false, violation)
  }
  while (frontier.length > 0) {
    const current = frontier
    frontier = []
    depth += 1
    for (const { state, step } of current) {
      for (const action of model.actions(state)) {
        const next = model.next(state, action)
        const text = model.describe(action, state)
        const violation = visit(next, depth, { text, previous: step })
        if (violation !== undefined) return finish(false, violation)
        if (visitedHashes.size >= options.maxStates) return finish(false)
      }
    }
  }
  return finish(true)
}

/**
 * Follows a single trace through the model.
 *
 * @param choices numbers that select among the enabled actions, one for each transition
 */
export const walk = <State, Action>(
  model: Model<State, Action>,
  choices: readonly number[],
): Violation | undefined => {
  let state = model.initial[0]
  const trace: string[] = []
  for (const choice of choices) {
    if (state === undefined) return undefined
    const actions = model.actions(state)
    const action = actions[choice % Math.max(actions.length, 1)]
    if (action === undefined) return undefined
    trace.push(model.describe(action, state))
    state = model.next(state, action)
    const found = findViolation(model.invariants, state)
    if (found !== undefined) return { ...found, trace }
  }
  return undefined
}
