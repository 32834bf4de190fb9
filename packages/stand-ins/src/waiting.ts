/** Waiting on conditions instead of sleeping. */

/** Time in which a condition has to hold unless a test states another one, in milliseconds. */
const DEFAULT_DEADLINE_MS = 30_000
const PAUSE_MS = 50

/** Resolves after a time. */
export const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms)
  })

/**
 * Asks until `probe` gives a value, and resolves to it. A probe that throws counts as no value.
 * Rejects with `what` and the last error after the deadline.
 */
export const waitFor = async <T>(
  what: string,
  probe: () => T | undefined | Promise<T | undefined>,
  deadlineMs = DEFAULT_DEADLINE_MS,
): Promise<T> => {
  const untilMs = performance.now() + deadlineMs
  let lastError = ''
  for (;;) {
    try {
      const value = await probe()
      if (value !== undefined && value !== false) return value
      lastError = ''
    } catch (error) {
      lastError = `: ${String(error)}`
    }
    if (performance.now() > untilMs) {
      throw new Error(`not reached within ${deadlineMs} ms: ${what}${lastError}`)
    }
    await sleep(PAUSE_MS)
  }
}
