/** Processors that an estimate promised to the fillers of a worker and that they did not get. */
import type * as lists from './neighbours.js'

/** Time after a change of pace from which a figure shows it, in milliseconds: two smoothing times and the delay. */
const SETTLED_MS = 1_000

/** Share of the processors that their paces ask for below which fillers are short of them; figures are rough. */
const SHORT_SHARE = 0.85

/** Part of the difference to the estimate that one list corrects, since figures are rough. */
const CORRECTED_PART = 0.5

/** Time constant with which a correction is forgotten, in milliseconds: the load of serving tasks swings within 20 s. */
const FORGETTING_MS = 5_000

const FULL_PERCENT = 100

interface Pace {
  readonly percent: number
  readonly sinceMs: number
}

interface WorkerMemory {
  readonly paces: Map<string, Pace>
  missingMillis: number
  atMs: number
}

export interface MissingCpu {
  /** Learns from a worker's newest list, in which `leftCpuMillis` is the estimate with the correction so far. */
  readonly observe: (worker: string, neighbours: lists.Neighbours, nowMs: number) => void
  /** Processors by which the estimate for a worker is too high. */
  readonly millis: (worker: string) => number
  readonly forget: (worker: string) => void
}

export const createMissingCpu = (): MissingCpu => {
  const memories = new Map<string, WorkerMemory>()

  const memoryOf = (worker: string, nowMs: number): WorkerMemory => {
    const known = memories.get(worker)
    if (known !== undefined) return known
    const created: WorkerMemory = { paces: new Map(), missingMillis: 0, atMs: nowMs }
    memories.set(worker, created)
    return created
  }

  /** Processors that the settled paces of the fillers ask for. */
  const askedMillis = (
    { paces }: WorkerMemory,
    filling: readonly lists.FillingTask[],
    nowMs: number,
  ): number => {
    let asked = 0
    for (const { key, pacePercent, cpuMillis = 0 } of filling) {
      const known = paces.get(key)
      const isSame = known?.percent === pacePercent
      if (!isSame) paces.set(key, { percent: pacePercent, sinceMs: nowMs })
      if (isSame && nowMs - known.sinceMs >= SETTLED_MS) {
        asked += cpuMillis * (pacePercent / FULL_PERCENT)
      }
    }
    const present = new Set(filling.map(({ key }) => key))
    for (const key of paces.keys()) if (!present.has(key)) paces.delete(key)
    return asked
  }

  return {
    observe: (worker, { filling, leftCpuMillis }, nowMs) => {
      const memory = memoryOf(worker, nowMs)
      memory.missingMillis *= Math.exp(-(nowMs - memory.atMs) / FORGETTING_MS)
      memory.atMs = nowMs
      const asked = askedMillis(memory, filling, nowMs)
      if (leftCpuMillis === undefined || asked === 0) return
      const used = filling.reduce((sum, { usedCpuMillis = 0 }) => sum + usedCpuMillis, 0)
      const isShort = used < asked * SHORT_SHARE
      // Fillers that get what they ask for prove only that no less is left.
      const difference = isShort ? leftCpuMillis - used : Math.min(0, leftCpuMillis - used)
      memory.missingMillis = Math.max(0, memory.missingMillis + difference * CORRECTED_PART)
    },
    millis: (worker) => memories.get(worker)?.missingMillis ?? 0,
    forget: (worker) => {
      memories.delete(worker)
    },
  }
}
