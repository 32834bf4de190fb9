/**
 * Forwards orders that evacuate a failure domain or take that back. The orders of a domain have no order of their own, so
 * one that arrives late would undo a later one. The leader's ticket ties an order to the state of the domain at a time when
 * its sender was still waiting; whatever delays the order after that, it has no effect once another one is committed.
 */
import * as protocol from '@ebonyweir/protocol'
import * as results from 'ts-results-es'
import type * as leaderClient from './leaderClient.js'

/** Order whose sender is connected to this process. */
export interface EvacuationOrder {
  readonly failureDomain: string
  readonly evacuated: boolean
  /** Whether the sender still waits for the answer; one that gave up sends the order again elsewhere. */
  readonly isSenderWaiting: () => boolean
  /** Highest possible age of the order, in milliseconds. */
  readonly ageMs: () => number
}

/** Forwards one order. The order is not carried out if its sender may have given up, after `timeoutMs` milliseconds. */
export type SendEvacuationOrder = (
  order: EvacuationOrder,
  timeoutMs: number,
) => leaderClient.Reply<protocol.workflow.CallReply>

export const createEvacuationOrders =
  (
    client: Pick<leaderClient.LeaderClient, 'prepareEvacuation' | 'evacuate'>,
  ): SendEvacuationOrder =>
  async ({ failureDomain, evacuated, isSenderWaiting, ageMs }, timeoutMs) => {
    const notSent = (detail: string): results.Err<leaderClient.CallFailure> =>
      results.Err({ maybeDone: false, detail })
    if (ageMs() >= timeoutMs) return notSent('the order may have waited unread for too long')
    const prepared = await client.prepareEvacuation({ failureDomain }, timeoutMs - ageMs())
    if (prepared.isErr()) return notSent(prepared.error.detail)
    const { reply, ticket } = prepared.value
    if (ticket === undefined) return notSent(reply?.detail ?? 'no ticket')
    // After the ticket: an order that is current now was current when the ticket was given.
    if (!isSenderWaiting()) return notSent('the sender has given up')
    if (ageMs() >= timeoutMs) return notSent('the order is too old')
    return client.evacuate({ failureDomain, evacuated, ticket }, timeoutMs - ageMs())
  }
