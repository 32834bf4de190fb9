/** Runs the events of a simulation in order of time. */
export interface EventQueue {
  readonly at: (timeMs: number, run: () => void) => void
  /** Runs events until the queue is empty or `untilMs` is reached. */
  readonly run: (untilMs: number) => void
  readonly nowMs: () => number
}

interface Event {
  readonly timeMs: number
  readonly order: number
  readonly run: () => void
}

const precedes = (a: Event, b: Event): boolean =>
  a.timeMs < b.timeMs || (a.timeMs === b.timeMs && a.order < b.order)

/** Creates an empty queue (a binary heap); events with the same time run in order of insertion. */
export const createEventQueue = (): EventQueue => {
  const heap: Event[] = []
  let nowMs = 0
  let order = 0

  const swap = (i: number, j: number): void => {
    const first = heap[i]
    const second = heap[j]
    if (first === undefined || second === undefined) return
    heap[i] = second
    heap[j] = first
  }

  const isBefore = (i: number, j: number): boolean => {
    const a = heap[i]
    const b = heap[j]
    return a !== undefined && b !== undefined && precedes(a, b)
  }

  const siftUp = (start: number): void => {
    let i = start
    while (i > 0) {
      const parent = (i - 1) >> 1
      if (!isBefore(i, parent)) return
      swap(i, parent)
      i = parent
    }
  }

  const siftDown = (): void => {
    let i = 0
    for (;;) {
      let least = i
      if (isBefore(2 * i + 1, least)) least = 2 * i + 1
      if (isBefore(2 * i + 2, least)) least = 2 * i + 2
      if (least === i) return
      swap(i, least)
      i = least
    }
  }

  const pop = (): Event | undefined => {
    const first = heap[0]
    const last = heap.pop()
    if (heap.length > 0 && last !== undefined) {
      heap[0] = last
      siftDown()
    }
    return first
  }

  return {
    at: (timeMs, run) => {
      heap.push({ timeMs, order: order++, run })
      siftUp(heap.length - 1)
    },
    run: (untilMs) => {
      while (heap[0] !== undefined && heap[0].timeMs <= untilMs) {
        const event = pop()
        if (event === undefined) return
        nowMs = event.timeMs
        event.run()
      }
    },
    nowMs: () => nowMs,
  }
}
