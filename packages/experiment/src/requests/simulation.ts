/** Open-loop simulation of entries and endpoints with the production router. */
import * as routing from '@ebonyweir/routing'
import * as randoms from '../random.js'
import * as eventQueue from './eventQueue.js'
import type * as scenarios from './scenarios.js'
import type * as variants from './variants.js'

type Router = routing.serviceRouter.ServiceRouter<variants.SimRequest>

/** Results of the requests, without those of the flooding caller. */
export interface Outcome {
  /** Latencies of answered requests. */
  readonly tookMs: readonly number[]
  readonly answered: number
  readonly refused: number
  /** Requests that had no answer at their deadline. */
  readonly failed: number
  /** Executions at endpoints, including retries and hedges of all callers. */
  readonly executions: number
}

interface SimEndpoint {
  readonly id: string
  readonly failureDomain: string
  readonly index: number
  running: number
  readonly queue: (() => void)[]
  serviceTimeMs: number
}

interface SimEntry {
  readonly failureDomain: string
  readonly router: Router
  /** Endpoints whose connection is unresponsive until it is replaced. */
  readonly unresponsive: Set<string>
}

interface PendingRequest extends variants.SimRequest {
  readonly entry: SimEntry
  readonly tried: Set<string>
  attempts: number
  openAttempts: number
  done: boolean
}

const DOMAINS = ['rennes', 'brest', 'vannes'] as const
const ENDPOINT_COUNT = 10
const SLOTS_PER_ENDPOINT = 8
const AGENT_QUEUE_LIMIT = 8
const MEAN_SERVICE_MS = 40
const SERVICE_DEVIATION = 0.5
const DEADLINE_MS = 400
const LOCAL_DELAY_MS = 0.2
const REMOTE_DELAY_MS = 1.5
/** Time until an unresponsive connection is detected: two missed probes, then Resolve. */
const UNRESPONSIVE_DETECTION_MS = 1_000
const MAX_ATTEMPTS = 4
const CALLER_COUNT = 10
const CAPACITY_PER_SECOND = (ENDPOINT_COUNT * SLOTS_PER_ENDPOINT * 1_000) / MEAN_SERVICE_MS
const domainOfEndpoint = (i: number): string => DOMAINS[i < 4 ? 0 : i < 7 ? 1 : 2]

/** Simulated time in which requests arrive. */
export const DURATION_MS = 9_000

/** Simulates one scenario with one policy. */
export const simulate = (
  scenario: scenarios.Scenario,
  variant: variants.Variant,
  seed: number,
): Outcome => {
  const events = eventQueue.createEventQueue()
  const arrivals = randoms.createRandom(seed, 'arrivals')
  const serviceTimeRandom = randoms.createRandom(seed, 'services')
  const policyRandom = randoms.createRandom(seed, 'policy')
  const tookMs: number[] = []
  const counts = { answered: 0, refused: 0, failed: 0, executions: 0 }
  const pendingById = new Map<string, PendingRequest>()
  let nextId = 0

  const endpoints: readonly SimEndpoint[] = Array.from({ length: ENDPOINT_COUNT }, (_, index) => ({
    id: `e${index}`,
    failureDomain: domainOfEndpoint(index),
    index,
    running: 0,
    queue: [],
    serviceTimeMs: 0,
  }))
  const byId = new Map(endpoints.map((e) => [e.id, e]))

  const entries: readonly SimEntry[] = DOMAINS.map((failureDomain) => ({
    failureDomain,
    unresponsive: new Set<string>(),
    router: routing.serviceRouter.createServiceRouter(variant.parts(), {
      ...variant.options,
      failureDomain,
    }),
  }))

  const isOut = (endpoint: SimEndpoint): boolean => {
    const [fromMs, untilMs] = scenario.domainOut
    const now = events.nowMs()
    return endpoint.failureDomain === DOMAINS[2] && now >= fromMs && now < untilMs
  }

  const updateListings = (): void => {
    const listings = endpoints.map((e) => ({
      id: e.id,
      failureDomain: e.failureDomain,
      slots: SLOTS_PER_ENDPOINT,
      closed: isOut(e),
    }))
    for (const entry of entries) entry.router.list(listings, events.nowMs())
  }

  const delayMs = (entry: SimEntry, endpoint: SimEndpoint): number =>
    entry.failureDomain === endpoint.failureDomain ? LOCAL_DELAY_MS : REMOTE_DELAY_MS

  const reportOf = (endpoint: SimEndpoint): routing.endpoint.EndpointReport => ({
    running: endpoint.running,
    queued: endpoint.queue.length,
    slots: SLOTS_PER_ENDPOINT,
    leaving: false,
    serviceTimeMs: endpoint.serviceTimeMs,
  })

  const finish = (request: PendingRequest, kind: 'answered' | 'refused' | 'failed'): void => {
    if (request.done) return
    request.done = true
    pendingById.delete(request.requestId)
    if (request.caller === 'flood') return
    counts[kind]++
    if (kind === 'answered') tookMs.push(events.nowMs() - request.arrivedAtMs)
  }

  const dispatchQueued = (entry: SimEntry): void => {
    for (;;) {
      const next = entry.router.next(events.nowMs(), policyRandom)
      if (next === undefined) return
      const request = pendingById.get(next.item.requestId)
      if (request !== undefined) attempt(request, next.endpointId)
    }
  }

  const retry = (request: PendingRequest, failure: 'refused' | 'failed'): void => {
    if (request.done || request.openAttempts > 0) return
    const { entry, tried } = request
    const now = events.nowMs()
    if (request.attempts < MAX_ATTEMPTS && now < request.deadlineMs) {
      const next = entry.router.dispatchAgain(tried, false, now, policyRandom)
      if (next !== undefined && entry.router.mayRetry(now)) {
        attempt(request, next)
        return
      }
      if (next !== undefined) entry.router.table.ended(next, undefined)
    }
    finish(request, failure)
  }

  const handleAttemptEnd = (
    request: PendingRequest,
    endpoint: SimEndpoint,
    startMs: number,
    ok: boolean,
  ): void => {
    const now = events.nowMs()
    const { router } = request.entry
    request.openAttempts--
    if (scenario.piggyback) router.table.report(endpoint.id, reportOf(endpoint), now)
    router.ended(endpoint.id, { failed: !ok, refused: !ok, tookMs: now - startMs }, now)
    if (ok) finish(request, 'answered')
    else retry(request, 'refused')
    dispatchQueued(request.entry)
  }

  const serve = (request: PendingRequest, endpoint: SimEndpoint, startMs: number): void => {
    endpoint.running++
    counts.executions++
    const factor = scenario.slowdown(endpoint.index, events.nowMs())
    const drawn =
      MEAN_SERVICE_MS * randoms.drawFactor(serviceTimeRandom, SERVICE_DEVIATION) * factor
    const serviceMs = drawn * Math.exp((-SERVICE_DEVIATION * SERVICE_DEVIATION) / 2)
    events.at(events.nowMs() + serviceMs, () => {
      endpoint.running--
      const previousMs = endpoint.serviceTimeMs === 0 ? serviceMs : endpoint.serviceTimeMs
      endpoint.serviceTimeMs = previousMs + 0.1 * (serviceMs - previousMs)
      endpoint.queue.shift()?.()
      events.at(events.nowMs() + delayMs(request.entry, endpoint), () => {
        handleAttemptEnd(request, endpoint, startMs, true)
      })
    })
  }

  const arrive = (request: PendingRequest, endpoint: SimEndpoint, startMs: number): void => {
    const start = (): void => {
      if (events.nowMs() < request.deadlineMs) serve(request, endpoint, startMs)
      else {
        endpoint.queue.shift()?.()
        handleAttemptEnd(request, endpoint, startMs, false)
      }
    }
    if (isOut(endpoint)) handleAttemptEnd(request, endpoint, startMs, false)
    else if (endpoint.running < SLOTS_PER_ENDPOINT) start()
    else if (endpoint.queue.length < AGENT_QUEUE_LIMIT) endpoint.queue.push(start)
    else handleAttemptEnd(request, endpoint, startMs, false)
  }

  const failAfterDetection = (
    request: PendingRequest,
    endpoint: SimEndpoint,
    startMs: number,
  ): void => {
    if (!variant.probes) return
    events.at(
      Math.max(events.nowMs(), scenario.unresponsiveAtMs) + UNRESPONSIVE_DETECTION_MS,
      () => {
        request.entry.unresponsive.delete(endpoint.id)
        handleAttemptEnd(request, endpoint, startMs, false)
      },
    )
  }

  const hedge = (request: PendingRequest): void => {
    const { router } = request.entry
    const now = events.nowMs()
    if (request.done || request.attempts !== 1) return
    const next = router.dispatchAgain(request.tried, true, now, policyRandom)
    if (next === undefined) return
    if (router.mayRetry(now)) attempt(request, next)
    else router.table.ended(next, undefined)
  }

  function attempt(request: PendingRequest, endpointId: string): void {
    const endpoint = byId.get(endpointId)
    if (endpoint === undefined) return
    const { entry } = request
    const startMs = events.nowMs()
    request.attempts++
    request.openAttempts++
    request.tried.add(endpointId)
    const afterMs = variant.hedges ? entry.router.hedgeAfterMs() : undefined
    if (afterMs !== undefined && request.attempts === 1) {
      events.at(startMs + afterMs, () => {
        hedge(request)
      })
    }
    if (entry.unresponsive.has(endpointId)) failAfterDetection(request, endpoint, startMs)
    else
      events.at(startMs + delayMs(entry, endpoint), () => {
        arrive(request, endpoint, startMs)
      })
  }

  const submitRequest = (caller: string): void => {
    const now = events.nowMs()
    const entry = entries[Math.floor(arrivals() * entries.length)]
    if (entry === undefined) return
    const request: PendingRequest = {
      requestId: `r${nextId++}`,
      caller,
      weight: 1,
      deadlineMs: now + DEADLINE_MS,
      arrivedAtMs: now,
      entry,
      tried: new Set(),
      attempts: 0,
      openAttempts: 0,
      done: false,
    }
    pendingById.set(request.requestId, request)
    const admission = entry.router.offer(request, now)
    if (admission.kind === 'refused') finish(request, 'refused')
    if (admission.kind === 'displaced') {
      const displaced = pendingById.get(admission.item.requestId)
      if (displaced !== undefined) finish(displaced, 'refused')
    }
    events.at(request.deadlineMs, () => {
      entry.router.remove(request.requestId)
      finish(request, 'failed')
    })
    dispatchQueued(entry)
  }

  const scheduleArrival = (load: () => number, caller: () => string): void => {
    const perMs = (load() * CAPACITY_PER_SECOND) / 1_000
    const gapMs = -Math.log(1 - arrivals()) / perMs
    if (events.nowMs() + gapMs > DURATION_MS) return
    events.at(events.nowMs() + gapMs, () => {
      submitRequest(caller())
      scheduleArrival(load, caller)
    })
  }

  const probe = (): void => {
    updateListings()
    for (const endpoint of endpoints) {
      const report = reportOf(endpoint)
      for (const entry of entries) {
        events.at(events.nowMs() + delayMs(entry, endpoint), () => {
          if (!entry.unresponsive.has(endpoint.id)) {
            entry.router.table.report(endpoint.id, report, events.nowMs())
          }
          dispatchQueued(entry)
        })
      }
    }
    if (events.nowMs() < DURATION_MS) events.at(events.nowMs() + scenario.reportMs, probe)
  }

  probe()
  const drawCaller = (): string => `c${Math.floor(arrivals() * CALLER_COUNT)}`
  scheduleArrival(() => scenario.load(events.nowMs()), drawCaller)
  if (scenario.flood > 0)
    scheduleArrival(
      () => scenario.flood,
      () => 'flood',
    )
  if (scenario.unresponsiveAtMs < Infinity) {
    events.at(scenario.unresponsiveAtMs, () => {
      for (const entry of entries)
        for (const e of endpoints.slice(0, 3)) entry.unresponsive.add(e.id)
    })
  }
  events.run(DURATION_MS + 20 * DEADLINE_MS)
  return { tookMs, ...counts }
}
