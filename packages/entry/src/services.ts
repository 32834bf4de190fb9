import type * as controlClient from '@ebonyweir/control-client'
import * as routing from '@ebonyweir/routing'
import * as serviceRequest from './serviceRequest.js'

type Request = serviceRequest.ServiceRequest
type Result = serviceRequest.RequestResult
type Router = routing.serviceRouter.ServiceRouter<Request>

/** Queues and routers of all services of one entry instance. */
export interface Services {
  readonly router: (service: string) => Router
  /** Queues the request until an endpoint is available and runs it there. */
  readonly run: (request: Request) => Promise<Result>
  /** Dispatches queued requests for which an endpoint has free capacity. */
  readonly dispatchQueued: (service: string) => void
  /** Refuses expired and unservable requests, and dispatches others if possible. */
  readonly tick: () => void
  readonly queued: () => number
}

export interface ServicesHost {
  readonly failureDomain: string
  readonly view: controlClient.configView.ConfigView
  readonly random: routing.endpoint.Random
  readonly runAttempts: (request: Request, endpointId: string, router: Router) => Promise<Result>
}

interface ServiceState {
  readonly router: Router
  readonly resolvers: Map<string, (result: Result) => void>
}

const DEFAULT_QUEUE_CAPACITY = 64

/** Creates the services. The router of a service is created on first use. */
export const createServices = (host: ServicesHost): Services => {
  const services = new Map<string, ServiceState>()
  const now = (): number => performance.now()

  const stateOf = (service: string): ServiceState => {
    const existing = services.get(service)
    if (existing !== undefined) return existing
    const capacity = (): number => host.view.service(service)?.queue ?? DEFAULT_QUEUE_CAPACITY
    const created: ServiceState = {
      router: routing.serviceRouter.createServiceRouter<Request>(
        {
          choice: new routing.choice.LoadAwareChoice(),
          queue: new routing.fairQueue.FairQueue(capacity),
          budget: new routing.retryBudget.RatioRetryBudget(),
          outliers: new routing.outliers.OutlierEjector(),
        },
        { failureDomain: host.failureDomain },
      ),
      resolvers: new Map(),
    }
    services.set(service, created)
    return created
  }

  const finish = (state: ServiceState, requestId: string, result: Result): void => {
    const resolve = state.resolvers.get(requestId)
    state.resolvers.delete(requestId)
    resolve?.(result)
  }

  const ruleOf = (request: Request): string => `service.${request.service}`

  const queueFull = (request: Request): Result => {
    const detail = `the queue of ${request.policy.queue} requests is full`
    return serviceRequest.notRun('queue-full', detail, ruleOf(request))
  }

  const noEndpoint = (request: Request): Result =>
    serviceRequest.notRun('no-endpoint', `no endpoint of ${request.service} takes requests`)

  const resultOfRefusal = (
    request: Request,
    refusal: {
      readonly reason: routing.serviceRouter.RefusalReason
      readonly expectedWaitMs: number
    },
  ): Result => {
    if (refusal.reason === 'queue-full') return queueFull(request)
    if (refusal.reason === 'no-endpoint') return noEndpoint(request)
    const detail = `expected to take ${Math.round(refusal.expectedWaitMs)} ms, longer than is left`
    return serviceRequest.notRun('too-late', detail, ruleOf(request))
  }

  const start = async (
    state: ServiceState,
    request: Request,
    endpointId: string,
  ): Promise<void> => {
    finish(state, request.requestId, await host.runAttempts(request, endpointId, state.router))
  }

  const dispatchQueued = (service: string): void => {
    const state = services.get(service)
    if (state === undefined) return
    for (;;) {
      const next = state.router.next(now(), host.random)
      if (next === undefined) return
      // If the process was suspended, the configuration lease may have expired while the request waited.
      if (host.view.inForce(now())) {
        void start(state, next.item, next.endpointId)
        continue
      }
      state.router.table.ended(next.endpointId, undefined)
      const failure = serviceRequest.notRun('config-expired', 'the configuration lease ended')
      finish(state, next.item.requestId, failure)
    }
  }

  const expire = (state: ServiceState): void => {
    for (const request of state.router.expire(now())) {
      const detail = `waited ${Math.round(now() - request.arrivedAtMs)} ms for an endpoint`
      const failure = serviceRequest.notRun('deadline', detail, ruleOf(request))
      finish(state, request.requestId, failure)
    }
  }

  return {
    router: (service) => stateOf(service).router,
    run: async (request) =>
      new Promise((resolve) => {
        const state = stateOf(request.service)
        const admission = state.router.offer(request, now())
        if (admission.kind === 'refused') {
          resolve(resultOfRefusal(request, admission))
          return
        }
        state.resolvers.set(request.requestId, resolve)
        if (admission.kind === 'displaced') {
          finish(state, admission.item.requestId, queueFull(admission.item))
        }
        request.cancelled.addEventListener('abort', () => {
          if (state.router.remove(request.requestId) === undefined) return
          const detail = 'the caller closed its connection'
          finish(state, request.requestId, serviceRequest.notRun('cancelled', detail))
        })
        dispatchQueued(request.service)
      }),
    dispatchQueued,
    tick: () => {
      for (const [service, state] of services) {
        if (state.router.queued() === 0) continue
        expire(state)
        for (const request of state.router.takeUnservable(now())) {
          finish(state, request.requestId, noEndpoint(request))
        }
        dispatchQueued(service)
      }
    },
    queued: () => [...services.values()].reduce((sum, { router }) => sum + router.queued(), 0),
  }
}
