/**
 * Admission with fair shares: a job whose caller keeps within its share is not refused because of the burst of another
 * caller, and a caller above its share is refused before the others.
 */
import * as crypto from 'node:crypto'
import * as admission from './admission.js'
import * as fairShares from './fairShares.js'
import * as order from './order.js'
import type * as shareOrder from './shareOrder.js'
import * as sizeClasses from './sizeClasses.js'
import * as submissionTimes from './submissionTimes.js'

/** Age from which positions are no basis for a refusal, in milliseconds: by then capacity may be free. */
const MAX_POSITIONS_AGE_MS = 2_000

/**
 * Time after the start of a term without refusals, in milliseconds: the half-life of usage, after which what the term
 * has seen itself outweighs what it rebuilt.
 */
const SETTLING_MS = 5_000

/** Longest time after which a refused caller is told to return, in milliseconds; usage has changed by then. */
const MAX_RETRY_AFTER_MS = 30_000

const MIN_RETRY_AFTER_MS = 1_000

/** Part of the delay over which the return of refused callers is spread. */
const RETRY_SPREAD = 0.5

/** Shares of the leader's term. */
export interface TermShares {
  readonly order: Pick<shareOrder.ShareOrder, 'keyOfSubmission' | 'positions' | 'poolsOf'>
  /** Monotonic time at which the term began. */
  readonly sinceMs: number
}

export interface FairShareAdmissionOptions {
  readonly policy: admission.AdmissionPolicy
  /** Shares of the present term; undefined if there is none. */
  readonly shares: () => TermShares | undefined
}

const HASH_RANGE = 2 ** 32

/** Number from 0 to 1 that depends on the text only, so that the decision needs no random source. */
const fractionOf = (text: string): number =>
  crypto.createHash('sha256').update(text).digest().readUInt32BE(0) / HASH_RANGE

/** Whether the pool can serve all waiting work of a key. */
const isServed = ({ usageCoreMs, waitingCoreMs, shareCoreMs }: fairShares.KeyPosition): boolean =>
  shareCoreMs >= (usageCoreMs + waitingCoreMs) * (1 - Number.EPSILON * 8)

/** Time until the waiting work of a key that goes before a submission is started at the rate of its share. */
const backlogMs = (
  { waiting, shareCores }: fairShares.KeyPosition,
  ownPrecedence: number,
): number => {
  let aheadCoreMs = 0
  for (const { precedence, coreMs } of waiting)
    if (precedence <= ownPrecedence) aheadCoreMs += coreMs
  return aheadCoreMs / Math.max(Number.MIN_VALUE, shareCores)
}

interface Standing {
  /** Precedence of the submission among the waiting work of its key. */
  readonly precedence: number
  /** Position of the key that the submission would get; undefined if it has no usage and no waiting work. */
  readonly own: fairShares.KeyPosition | undefined
  /** Whether work of other keys waits in the same pool. */
  readonly othersWait: boolean
  /** Whether a key of the pool has more waiting work than its share. */
  readonly someoneExceeds: boolean
}

const standingIn = (
  { keys }: fairShares.PoolPositions,
  key: fairShares.ShareKey,
  precedence: number,
): Standing => {
  let othersWait = false
  let someoneExceeds = false
  for (const position of keys.values()) {
    if (position.key.text !== key.text && position.waitingCoreMs > 0) othersWait = true
    if (!isServed(position)) someoneExceeds = true
  }
  return { precedence, own: keys.get(key.text), othersWait, someoneExceeds }
}

/** Wraps a policy; long-running and recurring jobs are left to it. */
export const createFairShareAdmission = ({
  policy,
  shares,
}: FairShareAdmissionOptions): admission.AdmissionPolicy => {
  const standingsOf = (request: admission.AdmissionRequest, nowMs: number): readonly Standing[] => {
    const current = shares()
    if (current === undefined || nowMs - current.sinceMs < SETTLING_MS) return []
    const key = current.order.keyOfSubmission(request)
    return [...current.order.poolsOf(request)].flatMap(([pool, precedence]) => {
      const positions = current.order.positions(pool)
      const isRecent = positions !== undefined && nowMs - positions.atMs <= MAX_POSITIONS_AGE_MS
      return isRecent ? [standingIn(positions, key, precedence)] : []
    })
  }

  const refuse = (
    request: admission.AdmissionRequest,
    waitMs: number,
    objectiveMs: number,
  ): admission.Admission => {
    const delayMs = Math.max(MIN_RETRY_AFTER_MS, waitMs - objectiveMs)
    const spreadMs = delayMs * (1 + RETRY_SPREAD * fractionOf(request.spec.id))
    return {
      kind: 'refused',
      reason: 'share-exceeded',
      retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, spreadMs),
      detail: 'the caller is above its share and its waiting jobs take too long',
    }
  }

  const decide: admission.AdmissionPolicy['decide'] = (request, state, nowMs) => {
    const decided = policy.decide(request, state, nowMs)
    const { spec } = request
    if (spec.repetitions > 0 || spec.steps.some(({ lasting }) => lasting)) return decided
    const standings = standingsOf(request, nowMs)
    if (decided.kind === 'refused') {
      if (decided.reason === 'too-many-open-jobs') return decided
      // Placed before the jobs of the keys that exceed their shares, so their backlog does not delay it.
      const isWithin =
        standings.length > 0 &&
        standings.every(({ own, someoneExceeds }) => {
          return someoneExceeds && (own === undefined || isServed(own))
        })
      return isWithin ? { kind: 'accepted' } : decided
    }
    const { objectiveMs } = submissionTimes.timesOf(spec.steps, request.queue)
    const coreMs = sizeClasses.estimatedCoreMs(spec.steps)
    for (const { own, othersWait, precedence } of standings) {
      if (own === undefined || !othersWait || isServed(own)) continue
      if (fairShares.fitsShare(coreMs, own.usageCoreMs, own.shareCoreMs)) continue
      const waitMs = backlogMs(own, precedence)
      if (waitMs > order.EXPIRY_FACTOR * objectiveMs) return refuse(request, waitMs, objectiveMs)
    }
    return decided
  }

  return { decide }
}
