import * as controlState from '@ebonyweir/control-state'
import type * as protocol from '@ebonyweir/protocol'
import type * as engine from './engine.js'

type Body = NonNullable<protocol.command.Command['body']>

/** Command that a client submits, and submits again when the answer is lost. */
export interface ClientCommand {
  readonly name: string
  readonly body: Body
}

/** Command that reached the log, with the outcome of its apply. */
export interface AppliedCommand {
  readonly name: string
  readonly body: Body
  readonly outcome: controlState.Outcome
}

/** Commands in log order after the fixed beginning. */
export interface CommandWorld {
  readonly order: readonly number[]
  readonly applied: readonly AppliedCommand[]
  readonly view: controlState.ControlView
}

export type Apply = (
  state: controlState.ControlState,
  body: Body,
  index: number,
) => controlState.Outcome

/** Clients whose commands reach the log in any order, delayed and repeated. */
export interface CommandScenario {
  readonly name: string
  readonly protection: string
  /** Applied before the exploration. */
  readonly beginning: readonly Body[]
  readonly commands: readonly ClientCommand[]
  /** How often each command may reach the log. */
  readonly copies: number
  /** Apply without the protection. */
  readonly weakened: Apply
  readonly invariants: readonly engine.Invariant<CommandWorld>[]
}

export const productionApply: Apply = (state, body, index) =>
  state.apply({ nowMs: index, body }, index)

/** Model of a scenario; each world replays the production state machine from its beginning. */
export const createCommandModel = (
  scenario: CommandScenario,
  isProtected: boolean,
): engine.Model<CommandWorld, number> => {
  const apply = isProtected ? productionApply : scenario.weakened
  const { parseRulesText: parseRules } = controlState

  const replay = (order: readonly number[]): CommandWorld => {
    const state = controlState.createControlState({ parseRules })
    let index = 0
    for (const body of scenario.beginning) productionApply(state, body, (index += 1))
    const applied = order.flatMap((position) => {
      const command = scenario.commands[position]
      if (command === undefined) return []
      return [{ ...command, outcome: apply(state, command.body, (index += 1)) }]
    })
    return { order, applied, view: state.view }
  }

  const copiesOf = (world: CommandWorld, position: number): number =>
    world.order.filter((other) => other === position).length

  return {
    name: scenario.name,
    initial: [replay([])],
    actions: (world) =>
      [...scenario.commands.keys()].filter((item) => copiesOf(world, item) < scenario.copies),
    next: (world, position) => replay([...world.order, position]),
    key: (world) => world.order.join(','),
    describe: (position) => scenario.commands[position]?.name ?? '',
    invariants: scenario.invariants,
  }
}
