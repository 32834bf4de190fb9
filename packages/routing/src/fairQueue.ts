/** A request waiting for an endpoint. */
export interface QueuedRequest {
  readonly requestId: string
  readonly caller: string
  /** Weight of the caller relative to the other waiting callers. */
  readonly weight: number
  readonly deadlineMs: number
}

/** Result of adding a request to a queue. */
export type PushResult<Item extends QueuedRequest> =
  | { readonly kind: 'queued' }
  /** Queued in place of the newest request of the caller with the longest backlog. */
  | { readonly kind: 'displaced'; readonly item: Item }
  | { readonly kind: 'full' }

/** Bounded request queue of one service. */
export interface RequestQueue<Item extends QueuedRequest> {
  readonly push: (item: Item) => PushResult<Item>
  /** Removes the next request, even if it has expired. */
  readonly pop: () => Item | undefined
  readonly remove: (requestId: string) => Item | undefined
  /** Removes all requests whose deadline has passed. */
  readonly expire: (nowMs: number) => readonly Item[]
  /** Number of queued requests that would be served before a new one from this caller. */
  readonly countAhead: (caller: string, weight: number) => number
  readonly size: () => number
}

interface Backlog<Item> {
  readonly items: Item[]
  weight: number
  /** Virtual finish time of the request at the head. */
  headTag: number
}

/** Weighted fair queue: serves callers in order of virtual finish time. */
export class FairQueue<Item extends QueuedRequest> implements RequestQueue<Item> {
  private readonly backlogs = new Map<string, Backlog<Item>>()
  private virtualTime = 0
  private count = 0

  constructor(private readonly capacity: () => number) {}

  push(item: Item): PushResult<Item> {
    const displaced = this.count >= this.capacity() ? this.displaceFor(item) : undefined
    if (this.count >= this.capacity()) return { kind: 'full' }
    const backlog = this.backlogs.get(item.caller) ?? {
      items: [],
      weight: item.weight,
      headTag: this.virtualTime + 1 / item.weight,
    }
    backlog.weight = item.weight
    backlog.items.push(item)
    this.backlogs.set(item.caller, backlog)
    this.count++
    return displaced === undefined ? { kind: 'queued' } : { kind: 'displaced', item: displaced }
  }

  pop(): Item | undefined {
    let next: Backlog<Item> | undefined
    for (const backlog of this.backlogs.values()) {
      if (next === undefined || backlog.headTag < next.headTag) next = backlog
    }
    const item = next?.items.shift()
    if (next === undefined || item === undefined) return undefined
    this.virtualTime = Math.max(this.virtualTime, next.headTag)
    next.headTag += 1 / next.weight
    this.onRemoved(item.caller, next)
    return item
  }

  remove(requestId: string): Item | undefined {
    for (const [caller, backlog] of this.backlogs) {
      const index = backlog.items.findIndex((item) => item.requestId === requestId)
      if (index < 0) continue
      const [item] = backlog.items.splice(index, 1)
      this.onRemoved(caller, backlog)
      return item
    }
    return undefined
  }

  expire(nowMs: number): readonly Item[] {
    const expired: Item[] = []
    for (const [caller, backlog] of [...this.backlogs]) {
      for (const item of backlog.items.filter((i) => i.deadlineMs <= nowMs)) {
        backlog.items.splice(backlog.items.indexOf(item), 1)
        expired.push(item)
        this.onRemoved(caller, backlog)
      }
    }
    return expired
  }

  countAhead(caller: string, weight: number): number {
    const own = this.backlogs.get(caller)?.items.length ?? 0
    let ahead = own
    for (const [other, backlog] of this.backlogs) {
      if (other === caller) continue
      ahead += Math.min(backlog.items.length, ((own + 1) * backlog.weight) / weight)
    }
    return ahead
  }

  size(): number {
    return this.count
  }

  private onRemoved(caller: string, backlog: Backlog<Item>): void {
    this.count--
    if (backlog.items.length === 0) this.backlogs.delete(caller)
  }

  // Displaces from the longest backlog relative to its weight, unless it is the pushing caller's.
  private displaceFor(item: Item): Item | undefined {
    const own = this.backlogs.get(item.caller)
    let longest = ((own?.items.length ?? 0) + 1) / item.weight
    let longestBacklog: readonly [string, Backlog<Item>] | undefined
    for (const [caller, backlog] of this.backlogs) {
      const length = backlog.items.length / backlog.weight
      if (caller === item.caller || length <= longest) continue
      longest = length
      longestBacklog = [caller, backlog]
    }
    const displaced = longestBacklog?.[1].items.pop()
    if (longestBacklog !== undefined && displaced !== undefined)
      this.onRemoved(longestBacklog[0], longestBacklog[1])
    return displaced
  }
}

/** Baseline: first in, first out across all callers. */
export class FifoQueue<Item extends QueuedRequest> implements RequestQueue<Item> {
  private readonly items: Item[] = []

  constructor(private readonly capacity: () => number) {}

  push(item: Item): PushResult<Item> {
    if (this.items.length >= this.capacity()) return { kind: 'full' }
    this.items.push(item)
    return { kind: 'queued' }
  }

  pop(): Item | undefined {
    return this.items.shift()
  }

  remove(requestId: string): Item | undefined {
    const index = this.items.findIndex((item) => item.requestId === requestId)
    return index < 0 ? undefined : this.items.splice(index, 1)[0]
  }

  expire(nowMs: number): readonly Item[] {
    const expired = this.items.filter((item) => item.deadlineMs <= nowMs)
    for (const item of expired) this.items.splice(this.items.indexOf(item), 1)
    return expired
  }

  countAhead(): number {
    return this.items.length
  }

  size(): number {
    return this.items.length
  }
}
