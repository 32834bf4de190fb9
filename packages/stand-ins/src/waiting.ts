/** Polling for conditions. */

const DEFAULT_DEADLINE_MS = 30_000
const POLL_INTERVAL_MS = 50

export const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms)
  })

/**
 * Polls until `probe` returns a value other than undefined and false, and resolves to it. A probe that
 * throws counts as no value. Rejects with `description` and the last error after the deadline.
 */
export const waitFor = async <T>(
  description: string,
  probe: () => T | undefined | Promise<T | undefined>,
  deadlineMs = DEFAULT_DEADLINE_MS,
): Promise<T> => {
  const deadlineAtMs = performance.now() + deadlineMs
  let lastError = ''
  for (;;) {
    try {
      const value = await probe()
      if (value !== undefined && value !== false) return value
      lastError = ''
    } catch (error) {
      lastError = `: ${String(error)}`
    }
    if (performance.now() > deadlineAtMs) {
      throw new Error(`timed out after ${deadlineMs} ms waiting for: ${description}${lastError}`)
    }
    await sleep(POLL_INTERVAL_MS)
  }
}
