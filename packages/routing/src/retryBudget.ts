/** Limits retries and hedges to a share of recent requests. */
export interface RetryBudget {
  /** Counts a first attempt. */
  readonly deposit: (nowMs: number) => void
  /** Takes one retry or hedge; false when the budget is used up. */
  readonly withdraw: (nowMs: number) => boolean
}

export interface RetryBudgetOptions {
  /** Retries and hedges per first attempt. @default 0.1 */
  readonly ratio: number
  /** Retries a second that are allowed at any load. @default 1 */
  readonly perSecond: number
  /** Largest stock of retries. @default 20 */
  readonly capacity: number
}

const DEFAULTS: RetryBudgetOptions = { ratio: 0.1, perSecond: 1, capacity: 20 }

/** Token bucket that first attempts fill. */
export class RatioRetryBudget implements RetryBudget {
  private readonly options: RetryBudgetOptions
  private tokens: number
  private filledAtMs = 0

  constructor(options: Partial<RetryBudgetOptions> = {}) {
    this.options = { ...DEFAULTS, ...options }
    this.tokens = this.options.capacity / 2
  }

  deposit(nowMs: number): void {
    this.fill(nowMs)
    this.tokens = Math.min(this.options.capacity, this.tokens + this.options.ratio)
  }

  withdraw(nowMs: number): boolean {
    this.fill(nowMs)
    if (this.tokens < 1) return false
    this.tokens--
    return true
  }

  private fill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.filledAtMs)
    if (this.filledAtMs > 0) {
      const grown = this.tokens + (elapsedMs / 1_000) * this.options.perSecond
      this.tokens = Math.min(this.options.capacity, grown)
    }
    this.filledAtMs = nowMs
  }
}

/** Baseline: retries as often as asked. */
export class UnlimitedRetries implements RetryBudget {
  deposit(): void {
    // Nothing is counted.
  }

  withdraw(): boolean {
    return true
  }
}
