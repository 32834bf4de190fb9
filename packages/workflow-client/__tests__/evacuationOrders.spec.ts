import * as protocol from '@ebonyweir/protocol'
import * as workflowClient from '@ebonyweir/workflow-client'
import * as workflowState from '@ebonyweir/workflow-state'
import * as results from 'ts-results-es'
import * as vitest from 'vitest'

const { describe, expect, it } = vitest
const { CallOutcome } = protocol.workflow

const TIMEOUT_MS = 900

const reply = (outcome: protocol.workflow.CallOutcome): protocol.workflow.CallReply => ({
  outcome,
  hint: undefined,
  retryAfterMs: 0,
  detail: '',
})

/** Point of an order's way at which its process or the leader freezes while other orders pass. */
type Delay = 'in the socket' | 'before the ticket' | 'after the ticket' | 'at the leader' | 'none'

/** Leader with the real state machine; `during` runs while the first order is delayed at `delay`. */
const createCell = (delay: Delay, during: () => Promise<void>, isEvacuated = false) => {
  const { apply, view } = workflowState.createWorkflowState()
  const first = { failureDomain: 'rennes', evacuated: isEvacuated, ticket: undefined }
  apply({ nowMs: 0, body: { $case: 'evacuation', value: first } })
  let ageMs = 0
  let isDelayed = false
  const pass = async (point: Delay): Promise<void> => {
    if (point !== delay || isDelayed) return
    isDelayed = true
    await during()
    ageMs = 4_000
  }
  const send = (evacuated: boolean, isSenderWaiting: () => boolean) => {
    const isFirst = !isDelayed
    const client: Parameters<typeof workflowClient.createEvacuationOrders>[0] = {
      prepareEvacuation: async ({ failureDomain }) => {
        await pass('before the ticket')
        const revision = workflowState.revisionOf(view.evacuationRevisions, failureDomain)
        const answer = results.Ok({ reply: reply(CallOutcome.OK), ticket: { revision } })
        await pass('after the ticket')
        return answer
      },
      evacuate: async (value) => {
        await pass('at the leader')
        const outcome = apply({ nowMs: 0, body: { $case: 'evacuation', value } })
        const isInForce = outcome.kind === 'evacuation' && outcome.isInForce
        return results.Ok(reply(isInForce ? CallOutcome.OK : CallOutcome.SUPERSEDED))
      },
    }
    const order = {
      failureDomain: 'rennes',
      evacuated,
      isSenderWaiting,
      ageMs: () => (isFirst ? ageMs : 0),
    }
    const forward = workflowClient.createEvacuationOrders(client)
    return { pass, forward: () => forward(order, TIMEOUT_MS) }
  }
  return { view, send }
}

const isDone = (result: Awaited<ReturnType<workflowClient.SendEvacuationOrder>>): boolean =>
  result.isOk() && result.value.outcome === CallOutcome.OK

describe('a delayed order', () => {
  const delays: readonly Delay[] = [
    'in the socket',
    'before the ticket',
    'after the ticket',
    'at the leader',
  ]
  const cases = delays.flatMap((delay) =>
    [true, false].flatMap((evacuated) =>
      // The end of the connection may be lost, so the sender may seem to wait although it gave up.
      [true, false].map((seemsToWait) => ({ delay, evacuated, seemsToWait })),
    ),
  )

  it.each(cases)(
    'guards against evacuated $evacuated that waited $delay undoing later orders (sender seems to wait: $seemsToWait)',
    async ({ delay, evacuated, seemsToWait }) => {
      let isDelayed = false
      // The sender repeats its order elsewhere, and then gives the opposite one.
      const giveLaterOrders = async (): Promise<void> => {
        isDelayed = true
        for (const next of [evacuated, !evacuated]) {
          expect(isDone(await cell.send(next, () => true).forward())).toBe(true)
        }
      }
      const cell = createCell(delay, giveLaterOrders, !evacuated)
      const late = cell.send(evacuated, () => !isDelayed || seemsToWait)
      await late.pass('in the socket')
      expect(isDone(await late.forward())).toBe(false)
      expect(cell.view.evacuated.has('rennes')).toBe(!evacuated)
    },
  )

  it('guards against cycles and repeated orders that are refused without trouble', async () => {
    const cell = createCell('none', () => Promise.resolve())
    for (const evacuated of [true, true, false, false, true, false, true]) {
      expect(isDone(await cell.send(evacuated, () => true).forward())).toBe(true)
      expect(cell.view.evacuated.has('rennes')).toBe(evacuated)
    }
  })
})
