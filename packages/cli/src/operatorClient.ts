/**
 * Client of the operator API: finds the leader, retries, and resends after a lost answer. A resend is
 * the same request, which the control group answers the same, so it is never carried out twice.
 */
import type * as protocol from '@ebonyweir/protocol'
import * as results from 'ts-results-es'

import * as failures from './failure.js'
import type * as transport from './transport.js'

/** Time source of the client. */
export interface Clock {
  /** Monotonic, in milliseconds. */
  readonly nowMs: () => number
  readonly sleep: (ms: number) => Promise<void>
}

/** Options of `createOperatorClient`. */
export interface OperatorClientOptions {
  /** HTTP addresses of control replicas, tried in this order. */
  readonly addresses: readonly string[]
  readonly send: transport.SendRequest
  readonly clock: Clock
  /** Time for one call with all its attempts. */
  readonly timeoutMs: number
}

/** Calls control replicas until one decides. */
export interface OperatorClient {
  readonly call: <T>(request: transport.ApiRequest) => Promise<results.Result<T, failures.Failure>>
}

const RETRY_PAUSE_MS = 200
const MAX_REDIRECTS_IN_A_ROW = 3
const STATUS_MISDIRECTED = 421
const STATUS_CONFLICT = 409
const STATUS_SERVER_ERROR = 500

interface Progress {
  /** Lines on what each address said, newest last. */
  readonly tried: Map<string, string>
  /** True if a change was sent whose answer was lost. */
  undecided: boolean
}

/** Creates the client. */
export function createOperatorClient(options: OperatorClientOptions): OperatorClient {
  const { clock } = options
  return {
    call: async <T>(request: transport.ApiRequest) => {
      const progress: Progress = { tried: new Map(), undecided: false }
      const untilMs = clock.nowMs() + options.timeoutMs
      do {
        for (const address of options.addresses) {
          const decided = await tryAddress<T>(address, request, progress, options)
          if (decided !== undefined) return decided
          if (clock.nowMs() >= untilMs) break
        }
        await clock.sleep(RETRY_PAUSE_MS)
      } while (clock.nowMs() < untilMs)
      return results.Err(describeUndecided(progress))
    },
  }
}

/** Asks one address and the leaders it names; undefined if none of them decided. */
async function tryAddress<T>(
  first: string,
  request: transport.ApiRequest,
  progress: Progress,
  options: OperatorClientOptions,
): Promise<results.Result<T, failures.Failure> | undefined> {
  let address = first
  for (let redirects = 0; redirects <= MAX_REDIRECTS_IN_A_ROW; redirects++) {
    const attempt = await options.send(address, request)
    if (attempt.kind !== 'answer') {
      progress.tried.set(address, attempt.detail)
      if (attempt.kind === 'lost' && request.method === 'POST') progress.undecided = true
      return undefined
    }
    if (attempt.status !== STATUS_MISDIRECTED) return decide<T>(address, attempt, request, progress)
    const { leader } = attempt.body as protocol.operatorApi.RedirectAnswer
    progress.tried.set(address, leader === '' ? 'knows no leader' : `the leader is ${leader}`)
    if (leader === '' || leader === address) return undefined
    address = leader
  }
  return undefined
}

function decide<T>(
  address: string,
  answer: Extract<transport.Attempt, { kind: 'answer' }>,
  request: transport.ApiRequest,
  progress: Progress,
): results.Result<T, failures.Failure> | undefined {
  if (answer.status < 300) return results.Ok(answer.body as T)
  const body = answer.body as Partial<protocol.operatorApi.ErrorAnswer>
  const detail = body.detail ?? body.error ?? `HTTP status ${answer.status}`
  if (answer.status >= STATUS_SERVER_ERROR) {
    progress.tried.set(address, detail)
    if (request.method === 'POST' && body.outcome !== 'not-run') progress.undecided = true
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

function describeUndecided(progress: Progress): failures.Failure {
  const details = [...progress.tried].map(([address, detail]) => `${address}: ${detail}`)
  return progress.undecided
    ? failures.createFailure(
        'unknown',
        'the answer was lost; the change may have been accepted. Run the same command again to find out.',
        details,
      )
    : failures.createFailure('unreachable', 'no control replica decided; nothing changed', details)
}
