/** Outcome of one request at an endpoint. */
export interface EndedRequest {
  readonly failed: boolean
  /** Refused without having run, for example by a full queue; not evidence about the endpoint. */
  readonly refused?: boolean
  readonly tookMs: number
}

/** Temporarily ejects endpoints from selection. */
export interface OutlierPolicy {
  /** Returns the time until which the endpoint is ejected, or 0. */
  readonly onEnd: (id: string, ended: EndedRequest, nowMs: number) => number
  /** Counts the endpoint towards the ejection limit before its first response. */
  readonly track: (id: string) => void
  readonly forget: (id: string) => void
}

export interface OutlierOptions {
  /** Consecutive failures after which an endpoint is ejected. @default 5 */
  readonly consecutiveFailures: number
  /** Duration of the first ejection; doubles with each further one. @default 5000 */
  readonly ejectionMs: number
  /** @default 60000 */
  readonly maxEjectionMs: number
  /** Multiple of the median response time above which an endpoint is ejected. @default 5 */
  readonly slowFactor: number
  /** Responses required before an endpoint can be ejected as slow. @default 20 */
  readonly minResponses: number
}

const DEFAULTS: OutlierOptions = {
  consecutiveFailures: 5,
  ejectionMs: 5_000,
  maxEjectionMs: 60_000,
  slowFactor: 5,
  minResponses: 20,
}

interface History {
  consecutiveFailures: number
  responses: number
  averageResponseMs: number
  ejections: number
  ejectedUntilMs: number
}

/** Weight of the latest response in the moving average of the response time. */
const RESPONSE_TIME_EWMA_WEIGHT = 0.1

const newHistory = (): History => ({
  consecutiveFailures: 0,
  responses: 0,
  averageResponseMs: 0,
  ejections: 0,
  ejectedUntilMs: 0,
})

/** Ejects endpoints that fail repeatedly or respond far slower than the median, never half or more. */
export class OutlierEjector implements OutlierPolicy {
  private readonly options: OutlierOptions
  private readonly histories = new Map<string, History>()

  constructor(options: Partial<OutlierOptions> = {}) {
    this.options = { ...DEFAULTS, ...options }
  }

  onEnd(id: string, ended: EndedRequest, nowMs: number): number {
    const history = this.histories.get(id) ?? newHistory()
    this.histories.set(id, history)
    this.recordOutcome(history, ended)
    if (history.ejectedUntilMs > nowMs || !this.isOutlier(id, history)) return 0
    if (!this.mayEject(nowMs)) return 0
    const durationMs = this.options.ejectionMs * 2 ** Math.min(history.ejections, 10)
    history.ejections++
    history.consecutiveFailures = 0
    history.responses = 0
    history.ejectedUntilMs = nowMs + Math.min(durationMs, this.options.maxEjectionMs)
    return history.ejectedUntilMs
  }

  forget(id: string): void {
    this.histories.delete(id)
  }

  track(id: string): void {
    if (!this.histories.has(id)) this.histories.set(id, newHistory())
  }

  private recordOutcome(history: History, ended: EndedRequest): void {
    if (ended.failed) {
      history.consecutiveFailures++
      return
    }
    history.consecutiveFailures = 0
    history.responses++
    const gain = history.responses === 1 ? 1 : RESPONSE_TIME_EWMA_WEIGHT
    history.averageResponseMs += gain * (ended.tookMs - history.averageResponseMs)
    if (history.responses > 1_000) history.ejections = 0
  }

  private isOutlier(id: string, history: History): boolean {
    if (history.consecutiveFailures >= this.options.consecutiveFailures) return true
    if (history.responses < this.options.minResponses) return false
    const others: number[] = []
    for (const [other, { responses, averageResponseMs }] of this.histories) {
      if (other !== id && responses >= this.options.minResponses) others.push(averageResponseMs)
    }
    if (others.length < 2) return false
    others.sort((a, b) => a - b)
    const median = others[Math.floor(others.length / 2)] ?? Infinity
    return history.averageResponseMs > this.options.slowFactor * median
  }

  private mayEject(nowMs: number): boolean {
    let ejected = 0
    for (const { ejectedUntilMs } of this.histories.values()) if (ejectedUntilMs > nowMs) ejected++
    return (ejected + 1) * 2 < this.histories.size
  }
}

/** Baseline: never ejects. */
export class NoEjection implements OutlierPolicy {
  onEnd(): number {
    return 0
  }

  track(): void {
    // Nothing is kept.
  }

  forget(): void {
    // Nothing is kept.
  }
}
