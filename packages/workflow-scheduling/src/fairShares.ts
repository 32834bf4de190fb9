/**
 * Weighted fair shares of a worker pool over queues, the failure domains of their callers, and size classes. Usage is
 * the core time of started tasks and decays; the share of a key is its weighted max-min allocation of what the pool
 * delivers. The shares only order work, so they never leave capacity unused.
 */
import * as maxMinShares from './maxMinShares.js'
import type * as sizeClasses from './sizeClasses.js'

/** Time in which usage halves, so that a burst is forgotten within a few objectives of interactive jobs. */
export const USAGE_HALF_LIFE_MS = 5_000

/** Integral of the decay: a constant use of one core adds up to this usage. */
export const USAGE_WINDOW_MS = USAGE_HALF_LIFE_MS / Math.LN2

/** Part of its share below which a key with waiting work must not stay: "served less than half as often" is a failure. */
export const FLOOR_SHARE = 0.5

/** Time below its floor after which a key goes first. */
export const STARVATION_BOUND_MS = 2_000

/** Time without waiting work or starts after which a key is evicted: usage has then decayed to 1/4096. */
export const KEY_RETENTION_MS = 60_000

/** Limit on the keys of a pool, 9 for each of 900 queues; the one that was inactive for longest is evicted. */
const MAX_KEYS = 8_192

/** Relative error of sums of usage, below which a difference does not count. */
const TOLERANCE = 1e-9

/** Who asks: a queue, the failure domain of the caller (empty if unknown) and the size class of the job. */
export interface ShareKey {
  readonly queue: string
  readonly callerDomain: string
  readonly sizeClass: sizeClasses.SizeClass
  /** The three parts as text; identifies the key. */
  readonly text: string
}

export const shareKey = (
  queue: string,
  callerDomain: string,
  sizeClass: sizeClasses.SizeClass,
): ShareKey => ({
  queue,
  callerDomain,
  sizeClass,
  text: `${queue}/${callerDomain === '' ? 'unknown' : callerDomain}/${sizeClass}`,
})

/** `starving` goes before everything else; `above` goes after `within`. */
export type ShareClass = 'starving' | 'within' | 'above'

export interface ShareStanding {
  readonly shareClass: ShareClass
  /** Time since which the key of `starving` work has been below its floor; 0 for other work. */
  readonly sinceMs: number
}

/** Work that waits for a start, such as the waiting tasks of a step. */
export interface WaitingWork {
  readonly key: ShareKey
  /** CPU that its tasks use together. */
  readonly cores: number
  /** Core time that a start of all of its tasks adds to the usage of the key. */
  readonly coreMs: number
  /** Whether the value of its job has expired; such work has no claim to a share. */
  readonly isExpired: boolean
  /** Work of a key with a lower number goes first: time until its latest start, or size of a best-effort job. */
  readonly precedence: number
}

/** CPU of a pool for work that ends by itself. */
export interface PoolSupply {
  readonly freeCores: number
  readonly runningCores: number
}

/** Position of a key in the newest ordering of its pool, in core milliseconds within the usage window. */
export interface KeyPosition {
  readonly key: ShareKey
  readonly usageCoreMs: number
  /** Work of the key that waits and has not expired. */
  readonly waitingCoreMs: number
  /** Weighted max-min allocation; below `usageCoreMs + waitingCoreMs` if the pool cannot serve the key in full. */
  readonly shareCoreMs: number
  /** CPU that the share is expected to give to the key. */
  readonly shareCores: number
  /** Parts of the waiting work. */
  readonly waiting: readonly Pick<WaitingWork, 'precedence' | 'coreMs'>[]
}

export interface PoolPositions {
  readonly atMs: number
  readonly keys: ReadonlyMap<string, KeyPosition>
}

export interface FairShares {
  /** Adds the core time of a started task to the usage of its key. */
  readonly charge: (pool: string, key: ShareKey, coreMs: number, nowMs: number) => void
  /**
   * Standing of each item of a pool's waiting work. `waiting` is in the order without shares; later items of a key
   * count on top of earlier ones.
   */
  readonly rank: (
    pool: string,
    waiting: readonly WaitingWork[],
    supply: PoolSupply,
    nowMs: number,
  ) => readonly ShareStanding[]
  /** Positions as of the newest `rank` of a pool. */
  readonly positions: (pool: string) => PoolPositions | undefined
  /** Decayed usage in core milliseconds, by text of the key, for the `limit` keys with the largest usage. */
  readonly usage: (nowMs: number, limit: number) => ReadonlyMap<string, number>
}

export interface FairSharesOptions {
  /** Weight of a queue. */
  readonly weightOf: (queue: string) => number
  /** Weight of a size class within its queue: its part of the queue's core time, so that all are served alike. */
  readonly partOf: sizeClasses.SizeClasses['partOf']
}

interface KeyState {
  readonly key: ShareKey
  usageCoreMs: number
  /** Time to which `usageCoreMs` has decayed. */
  atMs: number
  activeMs: number
  belowFloorSinceMs: number | undefined
}

interface Pool {
  /** Keys in the order of their latest activity. */
  readonly keys: Map<string, KeyState>
  positions: PoolPositions | undefined
}

interface Demand {
  readonly state: KeyState
  waitingCoreMs: number
  shareCoreMs: number
  readonly waiting: WaitingWork[]
}

const WITHIN: ShareStanding = { shareClass: 'within', sinceMs: 0 }
const ABOVE: ShareStanding = { shareClass: 'above', sinceMs: 0 }

/**
 * Whether at least half of an item is within a share. Decay leaves a key that has used its share a little of it at any
 * time, which is no reason to start a whole item. An item larger than the share counts as if it had its size.
 */
export const fitsShare = (coreMs: number, usedCoreMs: number, shareCoreMs: number): boolean =>
  shareCoreMs - usedCoreMs >= (1 - TOLERANCE) * (Math.min(coreMs, shareCoreMs) / 2)

const decay = (state: KeyState, nowMs: number): void => {
  const passedMs = Math.max(0, nowMs - state.atMs)
  state.usageCoreMs *= 2 ** (-passedMs / USAGE_HALF_LIFE_MS)
  state.atMs += passedMs
}

const touch = (pool: Pool, key: ShareKey, nowMs: number): KeyState => {
  const state = pool.keys.get(key.text) ?? {
    key,
    usageCoreMs: 0,
    atMs: nowMs,
    activeMs: nowMs,
    belowFloorSinceMs: undefined,
  }
  decay(state, nowMs)
  state.activeMs = Math.max(state.activeMs, nowMs)
  pool.keys.delete(key.text)
  pool.keys.set(key.text, state)
  const oldest = pool.keys.keys().next()
  if (pool.keys.size > MAX_KEYS && oldest.done !== true) pool.keys.delete(oldest.value)
  return state
}

const evictInactive = ({ keys }: Pool, nowMs: number): void => {
  for (const [text, { activeMs }] of keys) {
    if (nowMs - activeMs <= KEY_RETENTION_MS) return
    keys.delete(text)
  }
}

const demandOf = ({ state, waitingCoreMs }: Demand): number => state.usageCoreMs + waitingCoreMs

const sumOf = <T>(items: readonly T[], valueOf: (item: T) => number): number =>
  items.reduce((sum, item) => sum + valueOf(item), 0)

const groupBy = <T>(
  items: readonly T[],
  nameOf: (item: T) => string,
): readonly (readonly T[])[] => {
  const groups = new Map<string, T[]>()
  for (const item of items) {
    const name = nameOf(item)
    const group = groups.get(name)
    if (group === undefined) groups.set(name, [item])
    else group.push(item)
  }
  return [...groups.values()]
}

export const createFairShares = ({ weightOf, partOf }: FairSharesOptions): FairShares => {
  const pools = new Map<string, Pool>()

  const poolOf = (name: string): Pool => {
    const known = pools.get(name) ?? { keys: new Map(), positions: undefined }
    pools.set(name, known)
    return known
  }

  /** Divides `capacity` among groups by weight. */
  const divide = (
    capacity: number,
    groups: readonly (readonly Demand[])[],
    groupWeight: (key: ShareKey) => number,
    assign: (group: readonly Demand[], allocation: number) => void,
  ): void => {
    const claimants = groups.map((group) => ({
      weight: group[0] === undefined ? 1 : groupWeight(group[0].state.key),
      demand: sumOf(group, demandOf),
    }))
    const allocations = maxMinShares.allocate(capacity, claimants)
    for (const [index, group] of groups.entries()) assign(group, allocations[index] ?? 0)
  }

  /**
   * Divides first among queues, then among the failure domains of a queue, then among size classes. What one caller
   * of a queue leaves thus goes to the other callers of the queue first.
   */
  const allocateShares = (demands: readonly Demand[], capacity: number): void => {
    const queues = groupBy(demands, ({ state }) => state.key.queue)
    divide(
      capacity,
      queues,
      ({ queue }) => weightOf(queue),
      (queue, queueShare) => {
        const domains = groupBy(queue, ({ state }) => state.key.callerDomain)
        divide(
          queueShare,
          domains,
          () => 1,
          (domain, domainShare) => {
            divide(
              domainShare,
              domain.map((demand) => [demand]),
              (key) => partOf(key.queue, key.sizeClass),
              (demandsOfClass, share) => {
                for (const demand of demandsOfClass) demand.shareCoreMs = share
              },
            )
          },
        )
      },
    )
  }

  const updateFloors = (demands: readonly Demand[], nowMs: number): void => {
    for (const { state, waitingCoreMs, shareCoreMs } of demands) {
      const floor = FLOOR_SHARE * shareCoreMs * (1 - TOLERANCE)
      if (waitingCoreMs > 0 && state.usageCoreMs < floor) state.belowFloorSinceMs ??= nowMs
      else state.belowFloorSinceMs = undefined
    }
  }

  const demandsOf = (
    pool: Pool,
    waiting: readonly WaitingWork[],
    nowMs: number,
  ): ReadonlyMap<string, Demand> => {
    for (const { key } of waiting) touch(pool, key, nowMs)
    evictInactive(pool, nowMs)
    const demands = new Map<string, Demand>()
    for (const [text, state] of pool.keys) {
      decay(state, nowMs)
      demands.set(text, { state, waitingCoreMs: 0, shareCoreMs: 0, waiting: [] })
    }
    for (const item of waiting) {
      const demand = demands.get(item.key.text)
      if (demand === undefined || item.isExpired) continue
      demand.waitingCoreMs += item.coreMs
      demand.waiting.push(item)
    }
    return demands
  }

  const standingAt = (
    { state, shareCoreMs }: Demand,
    coreMs: number,
    usedCoreMs: number,
    nowMs: number,
  ): ShareStanding => {
    const sinceMs = state.belowFloorSinceMs
    const isStarving = sinceMs !== undefined && nowMs - sinceMs >= STARVATION_BOUND_MS
    if (isStarving && usedCoreMs < FLOOR_SHARE * shareCoreMs) {
      return { shareClass: 'starving', sinceMs }
    }
    return fitsShare(coreMs, usedCoreMs, shareCoreMs) ? WITHIN : ABOVE
  }

  const rank: FairShares['rank'] = (poolName, waiting, supply, nowMs) => {
    const pool = poolOf(poolName)
    const demands = demandsOf(pool, waiting, nowMs)
    const all = [...demands.values()]
    const waitingCores = sumOf(waiting, ({ cores }) => cores)
    const meanMs = waitingCores > 0 ? sumOf(waiting, ({ coreMs }) => coreMs) / waitingCores : 0
    // What the pool has delivered, and what its free CPU can deliver to the work that waits.
    const capacity = sumOf(all, ({ state }) => state.usageCoreMs) + supply.freeCores * meanMs
    allocateShares(all, capacity)
    updateFloors(all, nowMs)
    const cores = supply.freeCores + supply.runningCores
    pool.positions = {
      atMs: nowMs,
      keys: new Map(
        all.map(({ state, waitingCoreMs, shareCoreMs, waiting: waitingOfKey }) => [
          state.key.text,
          {
            key: state.key,
            usageCoreMs: state.usageCoreMs,
            waitingCoreMs,
            shareCoreMs,
            shareCores: capacity > 0 ? (cores * shareCoreMs) / capacity : 0,
            waiting: waitingOfKey,
          },
        ]),
      ),
    }
    const used = new Map<string, number>()
    return waiting.map(({ key, coreMs, isExpired }) => {
      const demand = demands.get(key.text)
      // Started before, for example a suspended task: its work is in the usage already.
      if (demand === undefined || coreMs <= 0) return WITHIN
      const usedCoreMs = used.get(key.text) ?? demand.state.usageCoreMs
      if (isExpired) return fitsShare(coreMs, usedCoreMs, demand.shareCoreMs) ? WITHIN : ABOVE
      used.set(key.text, usedCoreMs + coreMs)
      return standingAt(demand, coreMs, usedCoreMs, nowMs)
    })
  }

  return {
    charge: (poolName, key, coreMs, nowMs) => {
      touch(poolOf(poolName), key, nowMs).usageCoreMs += Math.max(0, coreMs)
    },
    rank,
    positions: (pool) => pools.get(pool)?.positions,
    usage: (nowMs, limit) => {
      const sums = new Map<string, number>()
      for (const { keys } of pools.values()) {
        for (const [text, { usageCoreMs, atMs }] of keys) {
          const decayed = usageCoreMs * 2 ** (-Math.max(0, nowMs - atMs) / USAGE_HALF_LIFE_MS)
          sums.set(text, (sums.get(text) ?? 0) + decayed)
        }
      }
      return new Map([...sums].sort((a, b) => b[1] - a[1]).slice(0, limit))
    },
  }
}
