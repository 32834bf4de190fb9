/**
 * Unary calls to the leader of a control group; finds it and follows its changes. A call that is not answered stays open
 * while other replicas are asked, and the first answer of a leader counts: every call may be carried out twice.
 */
import * as grpc from '@grpc/grpc-js'
import * as protocol from '@ebonyweir/protocol'
import * as results from 'ts-results-es'
import * as addressBooks from './addressBook.js'
import * as connections from './connections.js'

type Workflow = protocol.workflow.WorkflowClient

/** Time without an answer after which another replica is asked too, in milliseconds; a commit takes a few syncs of the disk. */
const NEXT_ATTEMPT_MS = 700

/** Time without a connection after which another replica is asked too, in milliseconds. */
const NEXT_CONNECTION_MS = 300

/** Attempts of one call that are open at the same time: one for each of three replicas and one on a new connection. */
const MAX_OPEN_ATTEMPTS = 4

/** Pause after a replica that does not lead, in milliseconds; an election takes about a second. */
const RETRY_PAUSE_MS = 80

/**
 * Pause after a replica that names a leader whose answer is being waited for, in milliseconds: it may not know yet that
 * the leader is gone, and a submission has 0.7 s left then.
 */
const NAMED_PAUSE_MS = 200

/** Why a call has no answer from a leader. */
export interface CallFailure {
  /** Whether a replica may have received the call, so that it may take effect. */
  readonly maybeDone: boolean
  readonly detail: string
}

export type Reply<T> = Promise<results.Result<T, CallFailure>>

/** Calls that wait for a leader until `deadlineMs` milliseconds have passed. */
export interface LeaderClient {
  readonly submit: Call<protocol.workflow.SubmitRequest, protocol.workflow.CallReply>
  readonly cancel: Call<protocol.workflow.JobQuery, protocol.workflow.CallReply>
  readonly inspect: Call<protocol.workflow.JobQuery, protocol.workflow.JobReply>
  readonly countPending: Call<protocol.workflow.JobQuery, protocol.workflow.PendingReply>
  readonly configure: Call<protocol.workflow.QueueConfiguration, protocol.workflow.CallReply>
  readonly readConfiguration: Call<
    protocol.workflow.ConfigurationQuery,
    protocol.workflow.ConfigurationReply
  >
  readonly evacuate: Call<protocol.workflow.SetEvacuation, protocol.workflow.CallReply>
  readonly contact: Call<protocol.workflow.ContactRequest, protocol.workflow.ContactReply>
  /** Time since a leader last answered any call, in milliseconds; infinite if none ever did. */
  readonly sinceLeaderMs: () => number
  /** Ends calls in progress without an answer, and later ones at once. */
  readonly close: () => void
}

export type Call<Request, Response> = (request: Request, timeoutMs: number) => Reply<Response>

type Method<Request, Response> = (
  client: Workflow,
  request: Request,
  options: Partial<grpc.CallOptions>,
  callback: (error: grpc.ServiceError | null, response: Response) => void,
) => grpc.ClientUnaryCall

/** One attempt of a call at one replica. */
interface Attempt {
  readonly address: string
  readonly isReplaced: () => boolean
  /** Whether the replica may have received the call. */
  isSent: boolean
  readonly end: (how: 'unanswered' | 'withdrawn') => void
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

/** Outcomes after which a job does not run, unless another attempt of the same call brings it in. */
const REFUSALS: ReadonlySet<protocol.workflow.CallOutcome> = new Set([
  CallOutcome.OVERLOADED,
  CallOutcome.NO_QUEUE,
  CallOutcome.UNCONFIGURED,
])

const isRefusal = ({ outcome }: protocol.workflow.CallReply): boolean => REFUSALS.has(outcome)

export const createLeaderClient = (options: LeaderClientOptions): LeaderClient => {
  const nowMs = options.nowMs ?? (() => performance.now())
  const book = addressBooks.createAddressBook(options.seeds, nowMs)
  const pool = connections.createConnections(nowMs)
  let leaderAtMs = Number.NEGATIVE_INFINITY
  let closed = false
  /** Wakes the calls that wait. */
  const waiting = new Set<() => void>()

  const beginAttempt = <Request, Response>(
    address: string,
    method: Method<Request, Response>,
    request: Request,
    endMs: number,
    notify: (attempt: Attempt, event: AttemptEvent<Response>) => void,
  ): Attempt => {
    const connection = pool.to(address)
    let sent: grpc.ClientUnaryCall | undefined
    let ended = false
    const wait = connection.begin(() => {
      notify(attempt, { kind: 'replaced' })
    })
    const end = (how: Parameters<typeof wait.end>[0]): void => {
      ended = true
      wait.end(how)
    }
    const attempt: Attempt = {
      address,
      isReplaced: connection.isReplaced,
      isSent: false,
      end: (how) => {
        end(how)
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
    void connection.ready().then((isReady) => {
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
    const open = new Set<Attempt>()
    const events: (readonly [Attempt, AttemptEvent<Response>])[] = []
    let wake = (): void => undefined
    let nextMs = nowMs()
    let maybeDone = false
    let detail = 'no replica is known'

    const notify = (attempt: Attempt, event: AttemptEvent<Response>): void => {
      events.push([attempt, event])
      wake()
    }

    const isBusy = (address: string): boolean => {
      for (const attempt of open) {
        if (attempt.address === address && !attempt.isReplaced()) return true
      }
      return false
    }

    const waitUntil = (untilMs: number): Promise<void> =>
      new Promise((resolve) => {
        const end = (): void => {
          clearTimeout(timer)
          waiting.delete(end)
          resolve()
        }
        const timer = setTimeout(end, Math.max(1, untilMs - nowMs()))
        waiting.add(end)
        wake = end
      })

    /** Takes an answer over; gives the response if it settles the call. */
    const settle = (address: string, response: Response): Response | undefined => {
      const reply = replyOf(response)
      nextMs = nowMs() + RETRY_PAUSE_MS
      if (reply === undefined || reply.outcome === CallOutcome.NOT_LEADING) {
        detail = `${address}: does not lead`
        book.reject(address, false)
        book.learn(reply?.hint)
        if (isBusy(reply?.hint?.leader ?? '')) nextMs = nowMs() + NAMED_PAUSE_MS
        return undefined
      }
      leaderAtMs = nowMs()
      book.confirm(address)
      book.learn(reply.hint)
      if (reply.outcome !== CallOutcome.UNKNOWN) return response
      maybeDone = true
      detail = `${address}: ${reply.detail}`
      return undefined
    }

    const take = (attempt: Attempt, event: AttemptEvent<Response>): Response | undefined => {
      const { address } = attempt
      switch (event.kind) {
        case 'connected':
          nextMs = nowMs() + NEXT_ATTEMPT_MS
          return undefined
        case 'replaced':
          if (!attempt.isSent) return undefined
          detail = `${address}: silent`
          book.reject(address, true)
          nextMs = nowMs()
          return undefined
        case 'answered':
          open.delete(attempt)
          return settle(address, event.response)
        default:
          open.delete(attempt)
          if (event.kind === 'failed') maybeDone = true
          detail = `${address}: ${event.kind === 'failed' ? event.detail : event.kind}`
          book.reject(address, true)
          nextMs = nowMs() + RETRY_PAUSE_MS
          return undefined
      }
    }

    const tryNext = (): void => {
      nextMs = nowMs() + RETRY_PAUSE_MS
      const address = open.size < MAX_OPEN_ATTEMPTS ? book.next(isBusy) : undefined
      if (address === undefined) return
      open.add(beginAttempt(address, method, request, endMs, notify))
      nextMs = nowMs() + NEXT_CONNECTION_MS
    }

    /** Whether the call may take effect through an attempt that has no answer. */
    const mayHaveEffect = (): boolean => maybeDone || [...open].some(({ isSent }) => isSent)

    const endAll = (how: 'unanswered' | 'withdrawn'): void => {
      for (const attempt of open) attempt.end(how)
    }

    for (;;) {
      for (const [attempt, event] of events.splice(0)) {
        const response = take(attempt, event)
        if (response === undefined) continue
        const mayDiffer = mayHaveEffect()
        endAll('withdrawn')
        if (!mayDiffer || !isUncertain(response)) return results.Ok(response)
        return results.Err({ maybeDone: true, detail })
      }
      const isOver = closed || nowMs() >= endMs
      if (!isOver && nowMs() >= nextMs) tryNext()
      if (isOver || (open.size === 0 && book.next() === undefined)) {
        maybeDone = mayHaveEffect()
        endAll('unanswered')
        return results.Err({ maybeDone, detail })
      }
      if (events.length === 0) await waitUntil(Math.min(endMs, nextMs))
    }
  }

  /** `isUncertain` names the responses that hold only if no replica got the call in another attempt. */
  const bind =
    <Request, Response>(
      method: Method<Request, Response>,
      isUncertain?: (response: Response) => boolean,
    ): Call<Request, Response> =>
    (request, timeoutMs) =>
      call(method, request, timeoutMs, isUncertain)

  const none = (): grpc.Metadata => new grpc.Metadata()

  return {
    submit: bind(
      (client, request, settings, done) => client.submit(request, none(), settings, done),
      isRefusal,
    ),
    cancel: bind((client, request, settings, done) =>
      client.cancel(request, none(), settings, done),
    ),
    inspect: bind((client, request, settings, done) =>
      client.inspect(request, none(), settings, done),
    ),
    countPending: bind((client, request, settings, done) =>
      client.countPending(request, none(), settings, done),
    ),
    configure: bind((client, request, settings, done) =>
      client.configure(request, none(), settings, done),
    ),
    readConfiguration: bind((client, request, settings, done) =>
      client.readConfiguration(request, none(), settings, done),
    ),
    evacuate: bind((client, request, settings, done) =>
      client.evacuate(request, none(), settings, done),
    ),
    contact: bind((client, request, settings, done) =>
      client.contact(request, none(), settings, done),
    ),
    sinceLeaderMs: () => nowMs() - leaderAtMs,
    close: () => {
      closed = true
      for (const wake of [...waiting]) wake()
      pool.close()
    },
  }
}
