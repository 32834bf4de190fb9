/** Limits retries and hedges to a share of recent requests. */
export interface RetryBudget {
  /** Records a first attempt. */
  readonly deposit: (nowMs: number) => void
  /** Takes one retry or hedge from the budget; false if it is exhausted. */
  readonly tryWithdraw: (nowMs: number) => boolean
}

export interface RetryBudgetOptions {
  /** Retries and hedges per first attempt. @default 0.1 */
  readonly ratio: number
  /** Retries per second that are allowed at any load. @default 1 */
  readonly perSecond: number
  /** Maximum number of saved retries. @default 20 */
  readonly capacity: number
}

const DEFAULTS: RetryBudgetOptions = { ratio: 0.1, perSecond: 1, capacity: 20 }

/** Token bucket refilled by first attempts and, at a low rate, over time. */
export class RatioRetryBudget implements RetryBudget {
  private readonly options: RetryBudgetOptions
  private tokens: number
  private filledAtMs = 0

  constructor(options: Partial<RetryBudgetOptions> = {}) {
    this.options = { ...DEFAULTS, ...options }
    this.tokens = this.options.capacity / 2
  }

  deposit(nowMs: number): void {
    this.refill(nowMs)
    this.tokens = Math.min(this.options.capacity, this.tokens + this.options.ratio)
  }

  tryWithdraw(nowMs: number): boolean {
    this.refill(nowMs)
    if (this.tokens < 1) return false
    this.tokens--
    return true
  }

  private refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.filledAtMs)
    if (this.filledAtMs > 0) {
      const refilledTokens = this.tokens + (elapsedMs / 1_000) * this.options.perSecond
      this.tokens = Math.min(this.options.capacity, refilledTokens)
    }
    this.filledAtMs = nowMs
  }
}

/** Baseline: no limit on retries. */
export class UnlimitedRetries implements RetryBudget {
  deposit(): void {
    // Nothing is counted.
  }

  tryWithdraw(): boolean {
    return true
  }
}
