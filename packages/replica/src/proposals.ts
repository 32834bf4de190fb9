import type * as consensus from '@ebonyweir/consensus'
import * as results from 'ts-results-es'
import type * as engines from './engine.js'
import type * as types from './types.js'
import type * as waiterTables from './waiters.js'

interface Proposal<Outcome> {
  readonly payload: Uint8Array
  readonly settle: (result: waiterTables.Settled<Outcome>) => void
}

/** Batches the proposals of one event loop iteration into one append. */
export interface Proposals<Outcome> {
  propose(payload: Uint8Array): Promise<waiterTables.Settled<Outcome>>
}

export interface ProposalsOptions<Outcome> {
  readonly engine: engines.Engine<Outcome>
  readonly maxPayloadBytes: number
  readonly leader: () => types.LeaderAddress | undefined
}

const toError = (
  refused: Extract<consensus.Output, { kind: 'refused' }>,
  leader: types.LeaderAddress | undefined,
): types.ProposeError =>
  refused.reason === 'overloaded'
    ? { kind: 'overloaded', detail: refused.detail }
    : { kind: 'not-leader', leader }

export const createProposals = <Outcome>(
  options: ProposalsOptions<Outcome>,
): Proposals<Outcome> => {
  const { engine, maxPayloadBytes } = options
  let queued: Proposal<Outcome>[] = []

  const onOutputs =
    (batch: readonly Proposal<Outcome>[]) =>
    (outputs: readonly consensus.Output[]): void => {
      for (const output of outputs) {
        if (output.kind === 'accepted') {
          batch.forEach((proposal, offset) => {
            engine.commands.add(output.firstIndex + offset, output.term, proposal.settle)
          })
        }
        if (output.kind === 'refused') {
          const error = toError(output, options.leader())
          for (const proposal of batch) proposal.settle(results.Err(error))
        }
      }
    }

  const flush = (): void => {
    const batch = queued
    queued = []
    if (engine.halted) {
      for (const proposal of batch) proposal.settle(results.Err({ kind: 'stopped' }))
      return
    }
    const payloads = batch.map((proposal) => proposal.payload)
    engine.run({ kind: 'propose', payloads }, onOutputs(batch))
  }

  return {
    propose: (payload) => {
      if (payload.length > maxPayloadBytes) {
        return Promise.resolve(results.Err({ kind: 'too-large', limitBytes: maxPayloadBytes }))
      }
      return new Promise((resolve) => {
        queued.push({ payload, settle: resolve })
        if (queued.length === 1) setImmediate(flush)
      })
    },
  }
}
