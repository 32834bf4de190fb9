import * as path from 'node:path'
import * as vitest from 'vitest'
import * as protocol from '@ebonyweir/protocol'
import * as standIns from '@ebonyweir/stand-ins'
import type * as controlState from '../src/index.js'
import * as support from './support.js'

const { describe, expect, test } = vitest

const FOLDER = path.join(import.meta.dirname, 'golden')

type Log = ReturnType<typeof support.createLog>

const command = ($case: string, value: unknown): protocol.command.Command['body'] =>
  protocol.command.Command.fromPartial({
    body: { $case, value } as unknown as NonNullable<protocol.command.Command['body']>,
  }).body

const formatOutcome = (outcome: controlState.Outcome): readonly string[] => {
  if (outcome.kind === 'tasksAssigned')
    return outcome.results.map((r) => `${r.task}#${r.attempt} ${r.refusal ?? 'assigned'}`)
  if (outcome.kind === 'tasksEnded')
    return outcome.results.map((r) => `${r.task}#${r.attempt} ${r.result}`)
  if (outcome.kind === 'workerRegistered')
    return ['registered', ...outcome.lost.map((r) => `${r.task}#${r.attempt} lost`)]
  if (outcome.kind === 'claim') {
    const { requestId, outcome: settled } = outcome.claim
    return [`${outcome.state} held by ${requestId}, outcome ${settled ?? 'open'}`]
  }
  return [JSON.stringify(outcome)]
}

const describeRecord = (log: Log, what: string, name: string): readonly string[] => {
  const { view } = log.state
  if (what === 'revision')
    return [`revision ${view.revision()} by ${view.rulesText().operator}: ${view.rulesText().text}`]
  if (what === 'worker') return [`${name} free ${JSON.stringify(view.worker(name)?.free)}`]
  const task = view.task(name)
  if (task === undefined) return [`${name} unknown`]
  const placement = task.worker === '' ? 'waits' : `on ${task.worker}`
  return [`${name} attempt ${task.attempt} ${placement}, checkpoint "${task.checkpoint}"`]
}

/** Input lines: `COMMAND {json}`, `show task|worker|revision NAME`, `restart` (from a snapshot). */
const createInterpreter = (): standIns.golden.Interpreter => {
  let log = support.createLog()
  return (input) => {
    const [word, rest] = [input.split(' ')[0] ?? '', input.slice(input.indexOf(' ') + 1)]
    if (word === 'restart') {
      log = log.restart()
      return ['restored from its snapshot']
    }
    if (word === 'show') {
      const [what, name] = rest.split(' ')
      return describeRecord(log, what ?? '', name ?? '')
    }
    const body = command(word, JSON.parse(rest))
    return body === undefined ? ['no such command'] : formatOutcome(log.run(body))
  }
}

describe('golden sessions of the control state', () => {
  // Guards against unreviewed changes to what operators, workers and callers see.
  test.each(standIns.golden.listSessions(FOLDER))('%s', (name) => {
    const { recorded, replayed } = standIns.golden.replayFile(FOLDER, name, createInterpreter())
    expect(replayed).toBe(recorded)
  })
})
