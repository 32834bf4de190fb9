import * as protocol from '@ebonyweir/protocol'
import type * as replica from '@ebonyweir/replica'
import * as telemetry from '@ebonyweir/telemetry/logger'
import * as workflowState from '@ebonyweir/workflow-state'
import * as results from 'ts-results-es'
import * as vitest from 'vitest'
import * as calls from '../src/calls.js'
import type * as context from '../src/context.js'
import * as workStatistics from '../src/workStatistics.js'

const { describe, expect, it } = vitest
const { CallOutcome } = protocol.workflow

const configurationOf = (version: number): protocol.workflow.QueueConfiguration =>
  protocol.workflow.QueueConfiguration.fromPartial({ version, document: `v${version}` })

type Proposal = results.Result<workflowState.Outcome, replica.ProposeError>

/** Call handlers over a state machine; the test releases its commits in order. */
const createCell = () => {
  const state = workflowState.createWorkflowState()
  const proposed: (context.CommandBody | undefined)[] = []
  const waiting: { readonly resolve: (result: Proposal) => void; readonly at: number }[] = []
  const ctx: context.ControlContext = {
    options: { logger: telemetry.createSilentLogger() } as context.ControlContext['options'],
    replica: {} as context.ControlContext['replica'],
    view: state.view,
    nowMs: () => 0,
    leadingTerm: () => 1,
    propose: (body) =>
      new Promise((resolve) => {
        waiting.push({ resolve, at: proposed.length })
        proposed.push(body)
      }),
    work: workStatistics.createWorkStatistics(() => 0),
    hint: () => ({ leader: '', members: [] }),
  }
  const handlers = calls.createCallHandlers(ctx, {
    onChange: () => undefined,
    hasStarted: () => false,
  })
  const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve))
  return {
    view: state.view,
    documents: () =>
      proposed.flatMap((body) => (body?.$case === 'configure' ? [body.value.version] : [])),
    commits: () => proposed.length,
    configure: (version: number) => handlers.configure(configurationOf(version)),
    /** Commits or refuses the oldest waiting command. */
    next: async (refused = false): Promise<void> => {
      await settle()
      const first = waiting.shift()
      const body = proposed[first?.at ?? -1]
      if (refused) first?.resolve(results.Err({ kind: 'overloaded' } as replica.ProposeError))
      else first?.resolve(results.Ok(state.apply({ nowMs: 0, body })))
      await settle()
    },
  }
}

describe('configurations that are resent', () => {
  it.each([
    { name: 'the version in force', version: 3 },
    { name: 'an older version', version: 2 },
  ])('guards against another copy of the document in the log for $name', async ({ version }) => {
    const cell = createCell()
    const first = cell.configure(3)
    await cell.next()
    await first
    let answered = false
    const again = cell.configure(version).then((reply) => {
      answered = true
      return reply
    })
    expect(cell.commits()).toBe(2)
    expect(answered).toBe(false)
    await cell.next()
    expect((await again).outcome).toBe(CallOutcome.OK)
    expect(cell.documents()).toEqual([3])
  })

  it('guards against a document in the log for each repetition while its first commit is pending', async () => {
    const cell = createCell()
    const sent = [cell.configure(4), cell.configure(4), cell.configure(4)]
    for (let commit = 0; commit < 3; commit += 1) await cell.next()
    for (const reply of await Promise.all(sent)) expect(reply.outcome).toBe(CallOutcome.OK)
    expect(cell.documents()).toEqual([4])
  })

  it('guards against an acknowledgement of a version whose first commit was refused', async () => {
    const cell = createCell()
    const first = cell.configure(4)
    const again = cell.configure(4)
    await cell.next(true)
    expect((await first).outcome).toBe(CallOutcome.OVERLOADED)
    await cell.next()
    expect(cell.view.configuration).toBeUndefined()
    await cell.next()
    expect((await again).outcome).toBe(CallOutcome.OK)
    expect(cell.view.configuration?.version).toBe(4)
  })

  it('takes a newer version', async () => {
    const cell = createCell()
    for (const version of [4, 5]) {
      const reply = cell.configure(version)
      await cell.next()
      expect((await reply).outcome).toBe(CallOutcome.OK)
    }
    expect(cell.view.configuration?.version).toBe(5)
  })
})
