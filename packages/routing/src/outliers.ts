/** How one request at an endpoint ended. */
export interface EndedRequest {
  readonly failed: boolean
  /** Refused without having run, for example by a full queue: says nothing about the endpoint. */
  readonly refused?: boolean
  readonly tookMs: number
}

/** Takes endpoints out of the choice for a while. */
export interface OutlierPolicy {
  /** Returns the time until which the endpoint is ejected, or 0. */
  readonly onEnd: (id: string, ended: EndedRequest, nowMs: number) => number
  /** Makes an endpoint count towards the bound before it answered. */
  readonly know: (id: string) => void
  readonly forget: (id: string) => void
}

export interface OutlierOptions {
  /** Failures in a row that eject. @default 5 */
  readonly failuresInRow: number
  /** First ejection; each further one doubles it. @default 5000 */
  readonly ejectionMs: number
  /** @default 60000 */
  readonly maxEjectionMs: number
  /** Factor over the median answer time at which an endpoint is ejected. @default 5 */
  readonly slowFactor: number
  /** Answers before an endpoint can be ejected as slow. @default 20 */
  readonly minAnswers: number
}

const DEFAULTS: OutlierOptions = {
  failuresInRow: 5,
  ejectionMs: 5_000,
  maxEjectionMs: 60_000,
  slowFactor: 5,
  minAnswers: 20,
}

interface History {
  failuresInRow: number
  answers: number
  averageMs: number
  ejections: number
  ejectedUntilMs: number
}

/** Weight of the newest answer in the average answer time. */
const GAIN = 0.1

const newHistory = (): History => ({
  failuresInRow: 0,
  answers: 0,
  averageMs: 0,
  ejections: 0,
  ejectedUntilMs: 0,
})

/** Ejects endpoints that fail repeatedly or answer far slower than the median, never half or more. */
export class OutlierEjector implements OutlierPolicy {
  private readonly options: OutlierOptions
  private readonly histories = new Map<string, History>()

  constructor(options: Partial<OutlierOptions> = {}) {
    this.options = { ...DEFAULTS, ...options }
  }

  onEnd(id: string, ended: EndedRequest, nowMs: number): number {
    const history = this.histories.get(id) ?? newHistory()
    this.histories.set(id, history)
    this.count(history, ended)
    if (history.ejectedUntilMs > nowMs || !this.isOutlier(id, history)) return 0
    if (!this.mayEject(nowMs)) return 0
    const durationMs = this.options.ejectionMs * 2 ** Math.min(history.ejections, 10)
    history.ejections++
    history.failuresInRow = 0
    history.answers = 0
    history.ejectedUntilMs = nowMs + Math.min(durationMs, this.options.maxEjectionMs)
    return history.ejectedUntilMs
  }

  forget(id: string): void {
    this.histories.delete(id)
  }

  know(id: string): void {
    if (!this.histories.has(id)) this.histories.set(id, newHistory())
  }

  private count(history: History, ended: EndedRequest): void {
    if (ended.failed) {
      history.failuresInRow++
      return
    }
    history.failuresInRow = 0
    history.answers++
    const gain = history.answers === 1 ? 1 : GAIN
    history.averageMs += gain * (ended.tookMs - history.averageMs)
    if (history.answers > 1_000) history.ejections = 0
  }

  private isOutlier(id: string, history: History): boolean {
    if (history.failuresInRow >= this.options.failuresInRow) return true
    if (history.answers < this.options.minAnswers) return false
    const others: number[] = []
    for (const [other, { answers, averageMs }] of this.histories) {
      if (other !== id && answers >= this.options.minAnswers) others.push(averageMs)
    }
    if (others.length < 2) return false
    others.sort((a, b) => a - b)
    const median = others[Math.floor(others.length / 2)] ?? Infinity
    return history.averageMs > this.options.slowFactor * median
  }

  private mayEject(nowMs: number): boolean {
    let ejected = 0
    for (const { ejectedUntilMs } of this.histories.values()) if (ejectedUntilMs > nowMs) ejected++
    return (ejected + 1) * 2 < this.histories.size
  }
}

/** Baseline: every endpoint stays in the choice. */
export class NoEjection implements OutlierPolicy {
  onEnd(): number {
    return 0
  }

  know(): void {
    // Nothing is kept.
  }

  forget(): void {
    // Nothing is kept.
  }
}
