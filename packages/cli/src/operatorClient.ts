/**
 * Client of the operator API: finds the leader, retries, and resends after a lost answer. Requests are
 * idempotent: the control group gives a resent request the same answer and does not apply it twice.
 */
import type * as protocol from '@ebonyweir/protocol'
import * as results from 'ts-results-es'

import * as failures from './failure.js'
import type * as transport from './transport.js'

/** Time source of the client. */
export interface Clock {
  /** Monotonic time. */
  readonly nowMs: () => number
  readonly sleep: (ms: number) => Promise<void>
}

export interface OperatorClientOptions {
  /** HTTP addresses of control replicas, tried in this order. */
  readonly addresses: readonly string[]
  readonly send: transport.SendRequest
  readonly clock: Clock
  /** Timeout of one call, including all its attempts. */
  readonly timeoutMs: number
}

/** Calls control replicas until one gives a definite answer. */
export interface OperatorClient {
  readonly call: <T>(request: transport.ApiRequest) => Promise<results.Result<T, failures.Failure>>
}

const RETRY_DELAY_MS = 200
const MAX_CONSECUTIVE_REDIRECTS = 3
const STATUS_MISDIRECTED = 421
const STATUS_CONFLICT = 409
const STATUS_SERVER_ERROR = 500

interface CallProgress {
  /** Last reply or error of each address, in the order of first contact. */
  readonly lastReplies: Map<string, string>
  /** True if a change was sent and it is unknown whether it was applied. */
  outcomeUnknown: boolean
}

export function createOperatorClient(options: OperatorClientOptions): OperatorClient {
  const { clock } = options
  return {
    call: async <T>(request: transport.ApiRequest) => {
      const progress: CallProgress = { lastReplies: new Map(), outcomeUnknown: false }
      const deadlineMs = clock.nowMs() + options.timeoutMs
      do {
        for (const address of options.addresses) {
          const result = await tryAddress<T>(address, request, progress, options)
          if (result !== undefined) return result
          if (clock.nowMs() >= deadlineMs) break
        }
        await clock.sleep(RETRY_DELAY_MS)
      } while (clock.nowMs() < deadlineMs)
      return results.Err(createUndecidedFailure(progress))
    },
  }
}

/** Sends to one address and follows its redirects; undefined without a definite answer. */
async function tryAddress<T>(
  first: string,
  request: transport.ApiRequest,
  progress: CallProgress,
  options: OperatorClientOptions,
): Promise<results.Result<T, failures.Failure> | undefined> {
  let address = first
  for (let redirects = 0; redirects <= MAX_CONSECUTIVE_REDIRECTS; redirects++) {
    const attempt = await options.send(address, request)
    if (attempt.kind !== 'answer') {
      progress.lastReplies.set(address, attempt.detail)
      if (attempt.kind === 'lost' && request.method === 'POST') progress.outcomeUnknown = true
      return undefined
    }
    if (attempt.status !== STATUS_MISDIRECTED)
      return interpretAnswer<T>(address, attempt, request, progress)
    const { leader } = attempt.body as protocol.operatorApi.RedirectAnswer
    progress.lastReplies.set(address, leader === '' ? 'knows no leader' : `the leader is ${leader}`)
    if (leader === '' || leader === address) return undefined
    address = leader
  }
  return undefined
}

function interpretAnswer<T>(
  address: string,
  answer: Extract<transport.Attempt, { kind: 'answer' }>,
  request: transport.ApiRequest,
  progress: CallProgress,
): results.Result<T, failures.Failure> | undefined {
  if (answer.status < 300) return results.Ok(answer.body as T)
  const body = answer.body as Partial<protocol.operatorApi.ErrorAnswer>
  const detail = body.detail ?? body.error ?? `HTTP status ${answer.status}`
  if (answer.status >= STATUS_SERVER_ERROR) {
    progress.lastReplies.set(address, detail)
    if (request.method === 'POST' && body.outcome !== 'not-run') progress.outcomeUnknown = true
    return undefined
  }
  const failure: failures.Failure = {
    kind: answer.status === STATUS_CONFLICT && body.error === 'conflict' ? 'conflict' : 'refused',
    message: detail,
    details: [],
    code: body.error ?? '',
    body: answer.body,
    ...(body.rule && { rule: body.rule }),
  }
  return results.Err(failure)
}

function createUndecidedFailure(progress: CallProgress): failures.Failure {
  const details = [...progress.lastReplies].map(([address, detail]) => `${address}: ${detail}`)
  return progress.outcomeUnknown
    ? failures.createFailure(
        'unknown',
        'the answer was lost; the change may have been accepted. Run the same command again to find out.',
        details,
      )
    : failures.createFailure(
        'unreachable',
        'no control replica could process the request; nothing changed',
        details,
      )
}
