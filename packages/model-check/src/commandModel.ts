import * as controlState from '@ebonyweir/control-state'
import type * as protocol from '@ebonyweir/protocol'
import type * as engine from './engine.js'

type Body = NonNullable<protocol.command.Command['body']>

/** Command that a client submits, and resubmits when the answer is lost. */
export interface ClientCommand {
  readonly name: string
  readonly body: Body
}

/** Command that reached the log, with the outcome of applying it. */
export interface AppliedCommand {
  readonly name: string
  readonly body: Body
  readonly outcome: controlState.Outcome
}

/** State after the setup commands and the commands of `order`, in log order. */
export interface CommandModelState {
  readonly order: readonly number[]
  readonly applied: readonly AppliedCommand[]
  readonly view: controlState.ControlView
}

export type Apply = (
  stateMachine: controlState.ControlState,
  body: Body,
  index: number,
) => controlState.Outcome

/** Client commands that reach the log in any order, delayed and duplicated. */
export interface CommandScenario {
  readonly name: string
  readonly protection: string
  /** Commands that are applied before the exploration starts. */
  readonly setup: readonly Body[]
  readonly commands: readonly ClientCommand[]
  /** How many times each command may reach the log. */
  readonly maxCopies: number
  /** Apply function without the protection. */
  readonly weakened: Apply
  readonly invariants: readonly engine.Invariant<CommandModelState>[]
}

export const productionApply: Apply = (stateMachine, body, index) =>
  stateMachine.apply({ nowMs: index, body }, index)

/** Creates the model of a scenario; each state is computed by replaying the production state machine from the start. */
export const createCommandModel = (
  scenario: CommandScenario,
  isProtected: boolean,
): engine.Model<CommandModelState, number> => {
  const apply = isProtected ? productionApply : scenario.weakened
  const { parseRulesText: parseRules } = controlState

  const replay = (order: readonly number[]): CommandModelState => {
    const stateMachine = controlState.createControlState({ parseRules })
    let index = 0
    for (const body of scenario.setup) productionApply(stateMachine, body, (index += 1))
    const applied = order.flatMap((position) => {
      const command = scenario.commands[position]
      if (command === undefined) return []
      return [{ ...command, outcome: apply(stateMachine, command.body, (index += 1)) }]
    })
    return { order, applied, view: stateMachine.view }
  }

  const copiesOf = (state: CommandModelState, position: number): number =>
    state.order.filter((other) => other === position).length

  return {
    name: scenario.name,
    initial: [replay([])],
    actions: (state) =>
      [...scenario.commands.keys()].filter((item) => copiesOf(state, item) < scenario.maxCopies),
    next: (state, position) => replay([...state.order, position]),
    key: (state) => state.order.join(','),
    describe: (position) => scenario.commands[position]?.name ?? '',
    invariants: scenario.invariants,
  }
}
