import * as path from 'node:path'
import * as vitest from 'vitest'
import * as agent from '@ebonyweir/agent'
import * as protocol from '@ebonyweir/protocol'
import * as standIns from '@ebonyweir/stand-ins'

const { describe, expect, test } = vitest

const FOLDER = path.join(import.meta.dirname, 'golden')
const INCARNATION = 7

type Result = agent.executionState.ExecutionResult

const formatResult = (result: Result | undefined): string => {
  if (result === undefined) return 'no result'
  if (result.$case === 'answer') return `answer ${String(result.value.body)}`
  const { reason, outcome } = result.value
  return `${reason} ${outcome}`
}

const formatEffect = (effect: agent.execution.Effect): string => {
  if (effect.kind === 'dispatch') return `dispatch ${effect.requestId} to ${effect.endpoint}`
  if (effect.kind === 'abort') return `abort ${effect.requestId}`
  if (effect.kind === 'reply') return `reply ${effect.requestId}: ${formatResult(effect.result)}`
  return `${effect.state}${effect.result === undefined ? '' : `: ${formatResult(effect.result)}`}`
}

const execute = (
  requestId: string,
  words: readonly string[],
  nowMs: number,
): agent.execution.ExecuteInput => {
  const numberOf = (name: string, fallback: number): number =>
    Number(words.find((w) => w.startsWith(`${name}=`))?.split('=')[1] ?? fallback)
  return {
    requestId,
    agentIncarnation: numberOf('incarnation', INCARNATION),
    agentTimeMs: nowMs - numberOf('ageMs', 0),
    service: 'desk',
    endpoint: words.find((w) => w.startsWith('at=')) ? 'b' : 'a',
    caller: 'counter',
    timeoutMs: numberOf('timeoutMs', 2000),
    retain: words.includes('keyed'),
  }
}

const toInput = (words: readonly string[], nowMs: number): agent.execution.Input => {
  const [kind = '', id = '', ...args] = words
  switch (kind) {
    case 'announce': {
      const limits = { slots: 1, connections: 4, leaving: args.includes('leaving') }
      const address = '127.0.0.1:1'
      const announcement = { endpoint: id, service: 'desk', address, ...limits }
      return { kind: 'announce', announcement }
    }
    case 'config':
      return { kind: 'config', untilMs: nowMs + Number(id), outDetail: args.join(' ') }
    case 'execute':
      return { kind: 'execute', request: execute(id, args, nowMs) }
    case 'resolve':
      return {
        kind: 'resolve',
        requestId: id,
        incarnation: Number(args[0] ?? INCARNATION),
        peek: false,
      }
    case 'ended': {
      const body = Buffer.from(args.join(' '))
      const value = { status: 200, headers: [], body, endpoint: 'a' }
      return { kind: 'ended', requestId: id, result: { $case: 'answer', value } }
    }
    case 'cut': {
      const reason = protocol.agent.RefusalReason.ANSWER_CUT
      const result = agent.executionResult.unknown(reason, 'the answer was cut')
      return { kind: 'ended', requestId: id, result }
    }
    case 'cancel':
      return { kind: 'cancel', requestId: id }
    case 'close':
      return { kind: 'close' }
    default:
      return { kind: 'tick' }
  }
}

/** Interprets lines with `wait MS` or an input of the agent. */
const createInterpreter = (): standIns.golden.Interpreter => {
  const state = agent.executionState.createState(INCARNATION)
  let nowMs = 10_000
  return (line) => {
    const words = line.split(' ')
    if (words[0] === 'wait') nowMs += Number(words[1])
    const effects = agent.execution.step(state, toInput(words, nowMs), nowMs)
    return effects.length === 0 ? ['–'] : effects.map(formatEffect)
  }
}

describe('golden sessions of an agent', () => {
  // Guards against unreviewed changes of the replies and dispatches of an agent.
  test.each(standIns.golden.listSessions(FOLDER))('%s', (name) => {
    const { recorded, replayed } = standIns.golden.replayFile(FOLDER, name, createInterpreter())
    expect(replayed).toBe(recorded)
  })
})
