/** Open-loop simulation of entries and endpoints with the production router. */
import * as routing from '@ebonyweir/routing'
import * as randoms from '../random.js'
import * as eventQueue from './eventQueue.js'
import type * as scenarios from './scenarios.js'
import type * as variants from './variants.js'

type Router = routing.serviceRouter.ServiceRouter<variants.SimRequest>

/** How the requests of the ordinary callers ended. */
export interface Outcome {
  /** Answer times of answered requests. */
  readonly tookMs: readonly number[]
  readonly answered: number
  readonly refused: number
  /** Deadline passed or endpoint unknown. */
  readonly failed: number
  /** Executions at endpoints, retries and hedges included, per answered request. */
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
  /** Endpoints to which the connection went silent, until it is replaced. */
  readonly silent: Set<string>
}

interface Pending extends variants.SimRequest {
  readonly entry: SimEntry
  readonly tried: Set<string>
  attempts: number
  open: number
  done: boolean
}

const DOMAINS = ['rennes', 'brest', 'vannes'] as const
const ENDPOINTS = 10
const SLOTS = 8
const AGENT_QUEUE = 8
const MEAN_SERVICE_MS = 40
const SERVICE_DEVIATION = 0.5
const DEADLINE_MS = 400
const LOCAL_MS = 0.2
const REMOTE_MS = 1.5
/** Two missed probes, then Resolve. */
const SILENCE_FOUND_MS = 1_000
const MAX_ATTEMPTS = 4
const CALLERS = 10
const CAPACITY_PER_SECOND = (ENDPOINTS * SLOTS * 1_000) / MEAN_SERVICE_MS
const DOMAIN_OF_ENDPOINT = (i: number): string => DOMAINS[i < 4 ? 0 : i < 7 ? 1 : 2]

/** Length of a run. */
export const DURATION_MS = 9_000

/** Runs one scenario with one policy. */
export const simulate = (
  scenario: scenarios.Scenario,
  variant: variants.Variant,
  seed: number,
): Outcome => {
  const events = eventQueue.createEventQueue()
  const arrivals = randoms.createRandom(seed, 'arrivals')
  const services = randoms.createRandom(seed, 'services')
  const policy = randoms.createRandom(seed, 'policy')
  const tookMs: number[] = []
  const counts = { answered: 0, refused: 0, failed: 0, executions: 0 }
  const waiting = new Map<string, Pending>()
  let nextId = 0

  const endpoints: readonly SimEndpoint[] = Array.from({ length: ENDPOINTS }, (_, index) => ({
    id: `e${index}`,
    failureDomain: DOMAIN_OF_ENDPOINT(index),
    index,
    running: 0,
    queue: [],
    serviceTimeMs: 0,
  }))
  const byId = new Map(endpoints.map((e) => [e.id, e]))

  const entries: readonly SimEntry[] = DOMAINS.map((failureDomain) => ({
    failureDomain,
    silent: new Set<string>(),
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

  const list = (): void => {
    const listings = endpoints.map((e) => ({
      id: e.id,
      failureDomain: e.failureDomain,
      slots: SLOTS,
      closed: isOut(e),
    }))
    for (const entry of entries) entry.router.list(listings, events.nowMs())
  }

  const delayMs = (entry: SimEntry, endpoint: SimEndpoint): number =>
    entry.failureDomain === endpoint.failureDomain ? LOCAL_MS : REMOTE_MS

  const reportOf = (endpoint: SimEndpoint): routing.endpoint.EndpointReport => ({
    running: endpoint.running,
    queued: endpoint.queue.length,
    slots: SLOTS,
    leaving: false,
    serviceTimeMs: endpoint.serviceTimeMs,
  })

  const finish = (request: Pending, kind: 'answered' | 'refused' | 'failed'): void => {
    if (request.done) return
    request.done = true
    waiting.delete(request.requestId)
    if (request.caller === 'flood') return
    counts[kind]++
    if (kind === 'answered') tookMs.push(events.nowMs() - request.arrivedAtMs)
  }

  const pump = (entry: SimEntry): void => {
    for (;;) {
      const next = entry.router.next(events.nowMs(), policy)
      if (next === undefined) return
      const request = waiting.get(next.item.requestId)
      if (request !== undefined) attempt(request, next.endpointId)
    }
  }

  const retry = (request: Pending, failure: 'refused' | 'failed'): void => {
    if (request.done || request.open > 0) return
    const { entry, tried } = request
    const now = events.nowMs()
    if (request.attempts < MAX_ATTEMPTS && now < request.deadlineMs) {
      const next = entry.router.again(tried, false, now, policy)
      if (next !== undefined && entry.router.mayRetry(now)) {
        attempt(request, next)
        return
      }
      if (next !== undefined) entry.router.table.ended(next, undefined)
    }
    finish(request, failure)
  }

  const ended = (request: Pending, endpoint: SimEndpoint, startMs: number, ok: boolean): void => {
    const now = events.nowMs()
    const { router } = request.entry
    request.open--
    if (scenario.piggyback) router.table.report(endpoint.id, reportOf(endpoint), now)
    router.ended(endpoint.id, { failed: !ok, refused: !ok, tookMs: now - startMs }, now)
    if (ok) finish(request, 'answered')
    else retry(request, 'refused')
    pump(request.entry)
  }

  const serve = (request: Pending, endpoint: SimEndpoint, startMs: number): void => {
    endpoint.running++
    counts.executions++
    const factor = scenario.slowdown(endpoint.index, events.nowMs())
    const drawn = MEAN_SERVICE_MS * randoms.drawFactor(services, SERVICE_DEVIATION) * factor
    const serviceMs = drawn * Math.exp((-SERVICE_DEVIATION * SERVICE_DEVIATION) / 2)
    events.at(events.nowMs() + serviceMs, () => {
      endpoint.running--
      const before = endpoint.serviceTimeMs === 0 ? serviceMs : endpoint.serviceTimeMs
      endpoint.serviceTimeMs = before + 0.1 * (serviceMs - before)
      endpoint.queue.shift()?.()
      events.at(events.nowMs() + delayMs(request.entry, endpoint), () => {
        ended(request, endpoint, startMs, true)
      })
    })
  }

  const arrive = (request: Pending, endpoint: SimEndpoint, startMs: number): void => {
    const start = (): void => {
      if (events.nowMs() < request.deadlineMs) serve(request, endpoint, startMs)
      else {
        endpoint.queue.shift()?.()
        ended(request, endpoint, startMs, false)
      }
    }
    if (isOut(endpoint)) ended(request, endpoint, startMs, false)
    else if (endpoint.running < SLOTS) start()
    else if (endpoint.queue.length < AGENT_QUEUE) endpoint.queue.push(start)
    else ended(request, endpoint, startMs, false)
  }

  const lose = (request: Pending, endpoint: SimEndpoint, startMs: number): void => {
    if (!variant.probes) return
    events.at(Math.max(events.nowMs(), scenario.silentAtMs) + SILENCE_FOUND_MS, () => {
      request.entry.silent.delete(endpoint.id)
      ended(request, endpoint, startMs, false)
    })
  }

  const hedge = (request: Pending): void => {
    const { router } = request.entry
    const now = events.nowMs()
    if (request.done || request.attempts !== 1) return
    const next = router.again(request.tried, true, now, policy)
    if (next === undefined) return
    if (router.mayRetry(now)) attempt(request, next)
    else router.table.ended(next, undefined)
  }

  function attempt(request: Pending, endpointId: string): void {
    const endpoint = byId.get(endpointId)
    if (endpoint === undefined) return
    const { entry } = request
    const startMs = events.nowMs()
    request.attempts++
    request.open++
    request.tried.add(endpointId)
    const afterMs = variant.hedges ? entry.router.hedgeAfterMs() : undefined
    if (afterMs !== undefined && request.attempts === 1) {
      events.at(startMs + afterMs, () => {
        hedge(request)
      })
    }
    if (entry.silent.has(endpointId)) lose(request, endpoint, startMs)
    else
      events.at(startMs + delayMs(entry, endpoint), () => {
        arrive(request, endpoint, startMs)
      })
  }

  const offer = (caller: string): void => {
    const now = events.nowMs()
    const entry = entries[Math.floor(arrivals() * entries.length)]
    if (entry === undefined) return
    const request: Pending = {
      requestId: `r${nextId++}`,
      caller,
      weight: 1,
      deadlineMs: now + DEADLINE_MS,
      arrivedAtMs: now,
      entry,
      tried: new Set(),
      attempts: 0,
      open: 0,
      done: false,
    }
    waiting.set(request.requestId, request)
    const admission = entry.router.offer(request, now)
    if (admission.kind === 'refused') finish(request, 'refused')
    if (admission.kind === 'displaced') {
      const displaced = waiting.get(admission.item.requestId)
      if (displaced !== undefined) finish(displaced, 'refused')
    }
    events.at(request.deadlineMs, () => {
      entry.router.remove(request.requestId)
      finish(request, 'failed')
    })
    pump(entry)
  }

  const arriveNext = (load: () => number, caller: () => string): void => {
    const perMs = (load() * CAPACITY_PER_SECOND) / 1_000
    const gapMs = -Math.log(1 - arrivals()) / perMs
    if (events.nowMs() + gapMs > DURATION_MS) return
    events.at(events.nowMs() + gapMs, () => {
      offer(caller())
      arriveNext(load, caller)
    })
  }

  const probe = (): void => {
    list()
    for (const endpoint of endpoints) {
      const report = reportOf(endpoint)
      for (const entry of entries) {
        events.at(events.nowMs() + delayMs(entry, endpoint), () => {
          if (!entry.silent.has(endpoint.id)) {
            entry.router.table.report(endpoint.id, report, events.nowMs())
          }
          pump(entry)
        })
      }
    }
    if (events.nowMs() < DURATION_MS) events.at(events.nowMs() + scenario.reportMs, probe)
  }

  probe()
  const named = (): string => `c${Math.floor(arrivals() * CALLERS)}`
  arriveNext(() => scenario.load(events.nowMs()), named)
  if (scenario.flood > 0)
    arriveNext(
      () => scenario.flood,
      () => 'flood',
    )
  if (scenario.silentAtMs < Infinity) {
    events.at(scenario.silentAtMs, () => {
      for (const entry of entries) for (const e of endpoints.slice(0, 3)) entry.silent.add(e.id)
    })
  }
  events.run(DURATION_MS + 20 * DEADLINE_MS)
  return { tookMs, ...counts }
}
