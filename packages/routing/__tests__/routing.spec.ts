import * as routing from '@ebonyweir/routing'
import * as prand from 'pure-rand'
import * as vitest from 'vitest'

const { describe, expect, test } = vitest

const randomOf = (seed: number): routing.endpoint.Random => {
  const generator = prand.xoroshiro128plus(seed)
  return () => prand.unsafeUniformIntDistribution(0, 2 ** 30 - 1, generator) / 2 ** 30
}

const view = (
  id: string,
  overrides: Partial<routing.endpoint.EndpointView> = {},
): routing.endpoint.EndpointView => ({
  id,
  failureDomain: 'rennes',
  slots: 8,
  outstanding: 0,
  othersReported: 0,
  reportedAtMs: 0,
  serviceTimeMs: 10,
  sinceMs: -Infinity,
  ejectedUntilMs: 0,
  ...overrides,
})

const selectionShareOf = (
  choice: routing.choice.EndpointChoice,
  views: readonly routing.endpoint.EndpointView[],
  id: string,
  nowMs = 0,
): number => {
  const random = randomOf(7)
  let chosen = 0
  for (let i = 0; i < 2_000; i++) {
    if (choice.choose(views, { nowMs, random, failureDomain: 'rennes' })?.id === id) chosen++
  }
  return chosen / 2_000
}

type Views = readonly routing.endpoint.EndpointView[]

describe('choice of an endpoint', () => {
  const others = [view('b'), view('c'), view('d')]
  const cases: readonly (readonly [
    string,
    Views,
    number,
    Partial<routing.choice.LoadAwareOptions>,
  ])[] = [
    ['reported load', [view('a', { othersReported: 8 }), ...others], 0, { reports: false }],
    ['slow endpoint', [view('a', { serviceTimeMs: 80 }), ...others], 0, { serviceTimes: false }],
    ['slow start', [view('a', { sinceMs: 0 }), ...others], 500, { slowStartMs: 0 }],
    [
      'failure-domain preference',
      [view('a', { failureDomain: 'brest' }), ...others],
      0,
      { remotePenaltyMs: 0 },
    ],
    [
      'comparison of several samples',
      [view('a', { outstanding: 8 }), ...others],
      0,
      { samples: 1 },
    ],
  ]

  // Each part must have an effect: endpoint a is avoided with it and chosen without it.
  test.each(cases)('takes into account: %s', (_name, views, nowMs, disabled) => {
    expect(selectionShareOf(new routing.choice.LoadAwareChoice(), views, 'a', nowMs)).toBeLessThan(
      0.1,
    )
    const without = new routing.choice.LoadAwareChoice(disabled)
    expect(selectionShareOf(without, views, 'a', nowMs)).toBeGreaterThan(0.2)
  })

  // Guards against outdated reports that keep their full weight.
  test('a stale report decays towards the mean', () => {
    const stale = view('a', { othersReported: 8, reportedAtMs: 0 })
    const fresh = others.map((o, i) => ({ ...o, othersReported: 3 + i, reportedAtMs: 5_000 }))
    const choice = new routing.choice.LoadAwareChoice({ samples: 2 })
    expect(selectionShareOf(choice, [stale, ...fresh], 'a', 5_000)).toBeGreaterThan(0.1)
    const withoutDecay = new routing.choice.LoadAwareChoice({ samples: 2, reportDecayMs: Infinity })
    expect(selectionShareOf(withoutDecay, [stale, ...fresh], 'a', 5_000)).toBe(0)
  })

  // Guards against treating an endpoint without a report as idle, which would send it every request.
  test('an endpoint without a report is assumed to have the mean load', () => {
    const missing = view('a', { othersReported: undefined, reportedAtMs: -Infinity })
    const loaded = others.map((o) => ({ ...o, othersReported: 6 }))
    const share = selectionShareOf(new routing.choice.LoadAwareChoice(), [missing, ...loaded], 'a')
    expect(share).toBeLessThan(0.3)
  })
})

interface Item extends routing.fairQueue.QueuedRequest {
  readonly requestId: string
}

const item = (caller: string, n: number, overrides: Partial<Item> = {}): Item => ({
  requestId: `${caller}${n}`,
  caller,
  weight: 1,
  deadlineMs: 1_000,
  ...overrides,
})

const CAPACITY = 10

const serveAfterFlood = (queue: routing.fairQueue.RequestQueue<Item>): readonly string[] => {
  for (let i = 0; i < 30; i++) queue.push(item('flood', i))
  for (let i = 0; i < 3; i++) queue.push(item('counter', i))
  return Array.from({ length: 6 }, () => queue.pop()?.caller ?? '')
}

describe('fair queue', () => {
  // Guards against one caller that fills the queue and delays the others, as happens with the baseline.
  test('a flood from one caller does not delay other callers', () => {
    const fair = serveAfterFlood(new routing.fairQueue.FairQueue<Item>(() => CAPACITY))
    expect(fair.filter((caller) => caller === 'counter').length).toBe(3)
    const fifo = serveAfterFlood(new routing.fairQueue.FifoQueue<Item>(() => CAPACITY))
    expect(fifo.filter((caller) => caller === 'counter').length).toBe(0)
  })

  // Guards against ignored weights.
  test('callers are served in proportion to their weight', () => {
    const queue = new routing.fairQueue.FairQueue<Item>(() => 100)
    for (let i = 0; i < 20; i++) queue.push(item('heavy', i, { weight: 3 }))
    for (let i = 0; i < 20; i++) queue.push(item('light', i))
    const served = Array.from({ length: 16 }, () => queue.pop()?.caller)
    expect(served.filter((caller) => caller === 'heavy').length).toBe(12)
  })

  // Guards against requests that stay queued after their deadline or after their caller is gone.
  test('expired and removed requests leave the queue', () => {
    const queue = new routing.fairQueue.FairQueue<Item>(() => 100)
    queue.push(item('a', 1, { deadlineMs: 10 }))
    queue.push(item('a', 2))
    queue.push(item('b', 3))
    expect(queue.expire(10).map((i) => i.requestId)).toEqual(['a1'])
    expect(queue.remove('b3')?.requestId).toBe('b3')
    expect([queue.size(), queue.pop()?.requestId, queue.size()]).toEqual([1, 'a2', 0])
  })
})

describe('retry budget', () => {
  // Guards against retries that multiply the load on a failing service.
  test('retries are limited to a share of first attempts', () => {
    const retriesWith = (budget: routing.retryBudget.RetryBudget): number => {
      let retries = 0
      for (let i = 0; i < 1_000; i++) {
        budget.deposit(i)
        if (budget.tryWithdraw(i)) retries++
      }
      return retries
    }
    expect(retriesWith(new routing.retryBudget.RatioRetryBudget())).toBeLessThanOrEqual(120)
    expect(retriesWith(new routing.retryBudget.UnlimitedRetries())).toBe(1_000)
  })
})

const countEjected = (
  policy: routing.outliers.OutlierPolicy,
  failing: number,
  endpoints: number,
): number => {
  const ejected = new Set<number>()
  for (let i = 0; i < endpoints; i++) policy.track(`e${i}`)
  for (let round = 0; round < 50; round++) {
    for (let i = 0; i < endpoints; i++) {
      const untilMs = policy.onEnd(`e${i}`, { failed: i < failing, tookMs: 10 }, round)
      if (untilMs > 0) ejected.add(i)
    }
  }
  return ejected.size
}

describe('outlier ejection', () => {
  const cases: readonly (readonly [failing: number, endpoints: number, ejected: number])[] = [
    [1, 10, 1],
    [4, 10, 4],
    [10, 10, 4],
    [3, 3, 1],
    [2, 2, 0],
    [1, 1, 0],
  ]

  // Guards against ejecting half or more of the endpoints and against ejecting none.
  test.each(cases)('%d failing of %d: %d ejected', (failing, endpoints, ejected) => {
    expect(countEjected(new routing.outliers.OutlierEjector(), failing, endpoints)).toBe(ejected)
    expect(countEjected(new routing.outliers.NoEjection(), failing, endpoints)).toBe(0)
  })

  // Guards against keeping a slow endpoint because it never fails.
  test('an endpoint far slower than the median is ejected', () => {
    const policy = new routing.outliers.OutlierEjector()
    const untilMs = Array.from({ length: 60 }, (_, round) =>
      ['a', 'b', 'c', 'd', 'e'].map((id) =>
        policy.onEnd(id, { failed: false, tookMs: id === 'a' ? 200 : 10 }, round),
      ),
    )
    expect(untilMs.some(([slow]) => (slow ?? 0) > 0)).toBe(true)
    expect(untilMs.every(([, ...rest]) => rest.every((ms) => ms === 0))).toBe(true)
  })
})

const routerOf = (
  options: Partial<routing.serviceRouter.RouterOptions> = {},
): routing.serviceRouter.ServiceRouter<Item> =>
  routing.serviceRouter.createServiceRouter<Item>(
    {
      choice: new routing.choice.LoadAwareChoice(),
      queue: new routing.fairQueue.FairQueue<Item>(() => 100),
      budget: new routing.retryBudget.RatioRetryBudget(),
      outliers: new routing.outliers.OutlierEjector(),
    },
    { failureDomain: 'rennes', ...options },
  )

const listing = (id: string, closed = false): routing.endpoint.EndpointListing => ({
  id,
  failureDomain: 'rennes',
  slots: 2,
  closed,
})

describe('service router', () => {
  const offerRequests = (router: routing.serviceRouter.ServiceRouter<Item>): readonly string[] => {
    router.list([listing('a')], 0)
    const report = { running: 0, queued: 0, slots: 2, leaving: false, serviceTimeMs: 100 }
    router.table.report('a', report, 0)
    return Array.from({ length: 40 }, (_, n) => {
      const admission = router.offer(item('counter', n), 0)
      router.next(0, Math.random)
      return admission.kind === 'refused' ? admission.reason : 'accepted'
    })
  }

  // Guards against queueing requests that cannot meet their deadline.
  test('a request that would be answered too late is refused immediately', () => {
    const early = offerRequests(routerOf())
    const first = early.indexOf('too-late')
    expect(first).toBeGreaterThan(10)
    expect(first).toBeLessThan(30)
    expect(offerRequests(routerOf({ refuseEarly: false }))).not.toContain('too-late')
  })

  // Guards against dispatching more requests to an endpoint than its capacity.
  test('dispatches at most slots plus overcommit', () => {
    const router = routerOf()
    router.list([listing('a'), listing('b')], 0)
    for (let n = 0; n < 10; n++) router.offer(item('counter', n), 0)
    const dispatched = Array.from({ length: 10 }, () => router.next(0, Math.random))
    expect(dispatched.filter((d) => d !== undefined).length).toBe(6)
    router.ended('a', { failed: false, tookMs: 1 }, 0)
    expect(router.next(0, Math.random)?.endpointId).toBe('a')
  })

  const closed: readonly (readonly [
    string,
    (r: routing.serviceRouter.ServiceRouter<Item>) => void,
  ])[] = [
    [
      'leaving according to the directory',
      (r) => {
        r.list([listing('a', true), listing('b')], 0)
      },
    ],
    [
      'leaving according to its report',
      (r) => {
        const report = { running: 0, queued: 0, slots: 2, leaving: true, serviceTimeMs: 1 }
        r.table.report('a', report, 0)
      },
    ],
    [
      'unreachable',
      (r) => {
        r.table.setReachable('a', false, 0)
      },
    ],
    [
      'rejected as gone by its agent',
      (r) => {
        r.table.markGone('a')
      },
    ],
    [
      'ejected',
      (r) => {
        r.list([listing('a'), listing('b'), listing('c')], 0)
        r.table.eject('a', 100)
      },
    ],
  ]

  // Guards against dispatching requests to endpoints that would refuse or lose them.
  test.each(closed)('an endpoint that is %s is not chosen', (_name, closeEndpoint) => {
    const router = routerOf()
    router.list([listing('a'), listing('b')], 0)
    const chosen = (): ReadonlySet<string | undefined> =>
      new Set(
        Array.from({ length: 30 }, () => {
          const id = router.dispatchAgain(new Set(), false, 0, Math.random)
          if (id !== undefined) router.table.ended(id, undefined)
          return id
        }),
      )
    expect(chosen().has('a')).toBe(true)
    closeEndpoint(router)
    expect(chosen().has('a')).toBe(false)
  })

  // Guards against an endpoint that stays closed after its agent reports it again.
  test('an endpoint that was rejected as gone is chosen again after a report', () => {
    const router = routerOf()
    router.list([listing('a')], 0)
    router.table.markGone('a')
    expect(router.dispatchAgain(new Set(), false, 0, Math.random)).toBeUndefined()
    const report = { running: 0, queued: 0, slots: 2, leaving: false, serviceTimeMs: 1 }
    router.table.report('a', report, 0)
    expect(router.dispatchAgain(new Set(), false, 0, Math.random)).toBe('a')
  })

  const { RECONNECT_WAIT_MS } = routing.endpointTable
  const reconnectCases: readonly (readonly [string, number, boolean, readonly string[]])[] = [
    ['waits while its connection is replaced', RECONNECT_WAIT_MS - 1, false, []],
    ['is dispatched once it has reconnected', 100, true, []],
    ['is removed when it does not reconnect', RECONNECT_WAIT_MS, false, ['counter-0']],
  ]

  // Guards against refusals while the only endpoint reconnects, and against waiting for one that is gone.
  test.each(reconnectCases)(
    'a request for the only endpoint %s',
    (_name, atMs, reconnects, unservable) => {
      const router = routerOf()
      router.list([listing('a')], 0)
      router.table.setReachable('a', false, 0)
      const request = item('counter', 0)
      expect(router.offer(request, 50).kind).toBe('queued')
      if (reconnects) router.table.setReachable('a', true, atMs)
      expect(router.takeUnservable(atMs).map(() => 'counter-0')).toEqual(unservable)
      const dispatched = router.next(atMs, Math.random)
      expect(dispatched?.endpointId).toBe(reconnects ? 'a' : undefined)
      if (unservable.length > 0) {
        expect(router.offer(item('counter', 1), atMs)).toMatchObject({ reason: 'no-endpoint' })
      }
    },
  )
})
