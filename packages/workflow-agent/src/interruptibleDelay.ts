/** Delay that an event can end early. */

export interface InterruptibleDelay {
  /** Resolves after `ms` milliseconds or when it is interrupted. Supports one wait at a time. */
  readonly wait: (ms: number) => Promise<void>
  readonly interrupt: () => void
}

export const createInterruptibleDelay = (): InterruptibleDelay => {
  let interrupt: () => void = () => undefined
  return {
    wait: (ms) =>
      new Promise((resolve) => {
        const timer = setTimeout(resolve, ms)
        interrupt = () => {
          clearTimeout(timer)
          resolve()
        }
      }),
    interrupt: () => {
      interrupt()
    },
  }
}
