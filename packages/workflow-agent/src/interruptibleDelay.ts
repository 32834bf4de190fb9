/** Pause that an event ends early. */

export interface Pause {
  /** Resolves after `ms` milliseconds, or when it is ended; one wait at a time. */
  readonly wait: (ms: number) => Promise<void>
  readonly end: () => void
}

export const createPause = (): Pause => {
  let end: () => void = () => undefined
  return {
    wait: (ms) =>
      new Promise((resolve) => {
        const timer = setTimeout(resolve, ms)
        end = () => {
          clearTimeout(timer)
          resolve()
        }
      }),
    end: () => {
      end()
    },
  }
}
