/**
 * Unary calls to the leader of a control group, with leader discovery and hedging: an unanswered attempt stays open while
 * other replicas are tried, and the first answer of a leader is taken. Every call may therefore be executed twice.
 */
import * as grpc from '@grpc/grpc-js'
import * as protocol from '@ebonyweir/protocol'
import * as results from 'ts-results-es'
import * as addressBooks from './addressBook.js'
import * as connections from './connections.js'

type Workflow = protocol.workflow.WorkflowClient

/** Time without an answer after which another replica is tried as well; a commit takes several disk syncs. */
const ANSWER_HEDGE_DELAY_MS = 700

/** Time without a connection after which another replica is tried as well. */
const CONNECT_HEDGE_DELAY_MS = 300

/** Maximum number of open attempts of one call: one for each of three replicas and one on a replacement connection. */
const MAX_OPEN_ATTEMPTS = 4

/** Pause after an answer of a replica that is not the leader; an election takes about a second. */
const RETRY_PAUSE_MS = 80

/**
 * Pause after an answer that names a leader with an open attempt. The replica may not have detected the failure of that
 * leader yet, and a submission has 0.7 s left at that point.
 */
const PENDING_LEADER_PAUSE_MS = 200

/** Why a call got no answer from a leader. */
export interface CallFailure {
  /** Whether a replica may have received the call, so that it may have taken or still take effect. */
  readonly maybeDone: boolean
  readonly detail: string
}

export type Reply<T> = Promise<results.Result<T, CallFailure>>

/** Calls that retry until a leader answers or `timeoutMs` milliseconds have passed. */
export interface LeaderClient {
  readonly submit: Call<protocol.workflow.SubmitRequest, protocol.workflow.CallReply>
  readonly cancel: Call<protocol.workflow.JobQuery, protocol.workflow.CallReply>
  readonly inspect: Call<protocol.workflow.JobQuery, protocol.workflow.JobReply>
  readonly countPending: Call<protocol.workflow.JobQuery, protocol.workflow.PendingReply>
  readonly explain: Call<protocol.workflow.SubmitRequest, protocol.workflow.ExplainReply>
  readonly configure: Call<protocol.workflow.QueueConfiguration, protocol.workflow.CallReply>
  readonly readConfiguration: Call<
    protocol.workflow.ConfigurationQuery,
    protocol.workflow.ConfigurationReply
  >
  readonly prepareEvacuation: Call<
    protocol.workflow.EvacuationQuery,
    protocol.workflow.EvacuationReply
  >
  readonly evacuate: Call<protocol.workflow.SetEvacuation, protocol.workflow.CallReply>
  readonly contact: Call<protocol.workflow.ContactRequest, protocol.workflow.ContactReply>
  /** Time since a leader last answered any call, or since the creation of the client if none ever did. */
  readonly sinceLeaderMs: () => number
  /** Fails calls in progress, and later calls immediately. */
  readonly close: () => void
}

export type Call<Request, Response> = (request: Request, timeoutMs: number) => Reply<Response>

type Method<Request, Response> = (
  client: Workflow,
  request: Request,
  options: Partial<grpc.CallOptions>,
  callback: (error: grpc.ServiceError | null, response: Response) => void,
) => grpc.ClientUnaryCall

/** One attempt of a call, at one replica. */
interface Attempt {
  readonly address: string
  readonly isReplaced: () => boolean
  /** Whether the request was sent, so that the replica may have received it. */
  isSent: boolean
  readonly end: (outcome: 'unanswered' | 'withdrawn') => void
}

type AttemptEvent<Response> =
  | { readonly kind: 'connected' | 'no connection' | 'replaced' }
  | { readonly kind: 'answered'; readonly response: Response }
  | { readonly kind: 'failed'; readonly detail: string }

export interface LeaderClientOptions {
  /** gRPC addresses from the settings. */
  readonly seeds: () => readonly string[]
  /** @default performance.now */
  readonly nowMs?: () => number
}

const { CallOutcome } = protocol.workflow

const isReply = (response: unknown): response is protocol.workflow.CallReply =>
  typeof response === 'object' && response !== null && 'outcome' in response

const replyOf = (response: unknown): protocol.workflow.CallReply | undefined => {
  if (isReply(response)) return response
  const { reply } = response as { readonly reply?: protocol.workflow.CallReply }
  return reply
}

/** Outcomes after which a job does not run, unless another attempt of the same call submits it. */
const REFUSALS: ReadonlySet<protocol.workflow.CallOutcome> = new Set([
  CallOutcome.OVERLOADED,
  CallOutcome.NO_QUEUE,
  CallOutcome.UNCONFIGURED,
])

const isRefusal = ({ outcome }: protocol.workflow.CallReply): boolean => REFUSALS.has(outcome)

export const createLeaderClient = (options: LeaderClientOptions): LeaderClient => {
  const nowMs = options.nowMs ?? (() => performance.now())
  const addressBook = addressBooks.createAddressBook(options.seeds, nowMs)
  const connectionPool = connections.createConnectionPool(nowMs)
  let lastLeaderAnswerMs = nowMs()
  let closed = false
  /** Wake-up callbacks of the waiting calls. */
  const pendingWaits = new Set<() => void>()

  const startAttempt = <Request, Response>(
    address: string,
    method: Method<Request, Response>,
    request: Request,
    endMs: number,
    notify: (attempt: Attempt, event: AttemptEvent<Response>) => void,
  ): Attempt => {
    const connection = connectionPool.get(address)
    let sent: grpc.ClientUnaryCall | undefined
    let ended = false
    const pendingCall = connection.beginCall(() => {
      notify(attempt, { kind: 'replaced' })
    })
    const end = (outcome: Parameters<typeof pendingCall.end>[0]): void => {
      ended = true
      pendingCall.end(outcome)
    }
    const attempt: Attempt = {
      address,
      isReplaced: connection.isReplaced,
      isSent: false,
      end: (outcome) => {
        end(outcome)
        sent?.cancel()
      },
    }
    const onAnswer = (error: grpc.ServiceError | null, response: Response): void => {
      if (ended) return
      const isLost = error?.code === grpc.status.UNAVAILABLE
      const isUnanswered = isLost || error?.code === grpc.status.DEADLINE_EXCEEDED
      end(isUnanswered ? 'unanswered' : 'answered')
      if (isLost) connection.replace()
      if (error === null) notify(attempt, { kind: 'answered', response })
      else notify(attempt, { kind: 'failed', detail: error.details })
    }
    void connection.waitUntilReady().then((isReady) => {
      if (ended) return
      if (!isReady) {
        end('unanswered')
        notify(attempt, { kind: 'no connection' })
        return
      }
      attempt.isSent = true
      const deadline = Date.now() + Math.max(1, endMs - nowMs())
      sent = method(connection.client, request, { deadline }, onAnswer)
      notify(attempt, { kind: 'connected' })
    })
    return attempt
  }

  const call = async <Request, Response>(
    method: Method<Request, Response>,
    request: Request,
    timeoutMs: number,
    isUncertain: (response: Response) => boolean = () => false,
  ): Reply<Response> => {
    const endMs = nowMs() + timeoutMs
    const openAttempts = new Set<Attempt>()
    const events: (readonly [Attempt, AttemptEvent<Response>])[] = []
    let wake = (): void => undefined
    let nextAttemptMs = nowMs()
    let maybeDone = false
    let detail = 'no replica address is known'

    const notify = (attempt: Attempt, event: AttemptEvent<Response>): void => {
      events.push([attempt, event])
      wake()
    }

    const isBusy = (address: string): boolean => {
      for (const attempt of openAttempts) {
        if (attempt.address === address && !attempt.isReplaced()) return true
      }
      return false
    }

    const waitUntil = (untilMs: number): Promise<void> =>
      new Promise((resolve) => {
        const end = (): void => {
          clearTimeout(timer)
          pendingWaits.delete(end)
          resolve()
        }
        const timer = setTimeout(end, Math.max(1, untilMs - nowMs()))
        pendingWaits.add(end)
        wake = end
      })

    /** Processes an answer; returns the response if it completes the call. */
    const handleAnswer = (address: string, response: Response): Response | undefined => {
      const reply = replyOf(response)
      nextAttemptMs = nowMs() + RETRY_PAUSE_MS
      if (reply === undefined || reply.outcome === CallOutcome.NOT_LEADING) {
        detail = `${address}: is not the leader`
        addressBook.reject(address, false)
        addressBook.applyHint(reply?.hint)
        if (isBusy(reply?.hint?.leader ?? '')) nextAttemptMs = nowMs() + PENDING_LEADER_PAUSE_MS
        return undefined
      }
      lastLeaderAnswerMs = nowMs()
      addressBook.confirm(address)
      addressBook.applyHint(reply.hint)
      if (reply.outcome !== CallOutcome.UNKNOWN) return response
      maybeDone = true
      detail = `${address}: ${reply.detail}`
      return undefined
    }

    const handleEvent = (attempt: Attempt, event: AttemptEvent<Response>): Response | undefined => {
      const { address } = attempt
      switch (event.kind) {
        case 'connected':
          nextAttemptMs = nowMs() + ANSWER_HEDGE_DELAY_MS
          return undefined
        case 'replaced':
          if (!attempt.isSent) return undefined
          detail = `${address}: connection is unresponsive`
          addressBook.reject(address, true)
          nextAttemptMs = nowMs()
          return undefined
        case 'answered':
          openAttempts.delete(attempt)
          return handleAnswer(address, event.response)
        default:
          openAttempts.delete(attempt)
          if (event.kind === 'failed') maybeDone = true
          detail = `${address}: ${event.kind === 'failed' ? event.detail : event.kind}`
          addressBook.reject(address, true)
          nextAttemptMs = nowMs() + RETRY_PAUSE_MS
          return undefined
      }
    }

    const tryNext = (): void => {
      nextAttemptMs = nowMs() + RETRY_PAUSE_MS
      const address = openAttempts.size < MAX_OPEN_ATTEMPTS ? addressBook.next(isBusy) : undefined
      if (address === undefined) return
      openAttempts.add(startAttempt(address, method, request, endMs, notify))
      nextAttemptMs = nowMs() + CONNECT_HEDGE_DELAY_MS
    }

    /** Whether the call may take effect through an attempt without a definite answer. */
    const mayHaveEffect = (): boolean => maybeDone || [...openAttempts].some(({ isSent }) => isSent)

    const endAttempts = (outcome: 'unanswered' | 'withdrawn'): void => {
      for (const attempt of openAttempts) attempt.end(outcome)
    }

    for (;;) {
      for (const [attempt, event] of events.splice(0)) {
        const response = handleEvent(attempt, event)
        if (response === undefined) continue
        const mayConflict = mayHaveEffect()
        endAttempts('withdrawn')
        if (!mayConflict || !isUncertain(response)) return results.Ok(response)
        return results.Err({ maybeDone: true, detail })
      }
      const isOver = closed || nowMs() >= endMs
      if (!isOver && nowMs() >= nextAttemptMs) tryNext()
      if (isOver || (openAttempts.size === 0 && addressBook.next() === undefined)) {
        maybeDone = mayHaveEffect()
        endAttempts('unanswered')
        return results.Err({ maybeDone, detail })
      }
      if (events.length === 0) await waitUntil(Math.min(endMs, nextAttemptMs))
    }
  }

  /** `isUncertain` selects the responses that are final only if no other attempt of the call may have taken effect. */
  const bind =
    <Request, Response>(
      method: Method<Request, Response>,
      isUncertain?: (response: Response) => boolean,
    ): Call<Request, Response> =>
    (request, timeoutMs) =>
      call(method, request, timeoutMs, isUncertain)

  const emptyMetadata = (): grpc.Metadata => new grpc.Metadata()

  return {
    submit: bind(
      (client, request, settings, done) => client.submit(request, emptyMetadata(), settings, done),
      isRefusal,
    ),
    cancel: bind((client, request, settings, done) =>
      client.cancel(request, emptyMetadata(), settings, done),
    ),
    inspect: bind((client, request, settings, done) =>
      client.inspect(request, emptyMetadata(), settings, done),
    ),
    countPending: bind((client, request, settings, done) =>
      client.countPending(request, emptyMetadata(), settings, done),
    ),
    explain: bind((client, request, settings, done) =>
      client.explain(request, emptyMetadata(), settings, done),
    ),
    configure: bind((client, request, settings, done) =>
      client.configure(request, emptyMetadata(), settings, done),
    ),
    readConfiguration: bind((client, request, settings, done) =>
      client.readConfiguration(request, emptyMetadata(), settings, done),
    ),
    prepareEvacuation: bind((client, request, settings, done) =>
      client.prepareEvacuation(request, emptyMetadata(), settings, done),
    ),
    evacuate: bind((client, request, settings, done) =>
      client.evacuate(request, emptyMetadata(), settings, done),
    ),
    contact: bind((client, request, settings, done) =>
      client.contact(request, emptyMetadata(), settings, done),
    ),
    sinceLeaderMs: () => nowMs() - lastLeaderAnswerMs,
    close: () => {
      closed = true
      for (const wake of [...pendingWaits]) wake()
      connectionPool.close()
    },
  }
}
