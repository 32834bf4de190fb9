/** Numbers of the ends that one incarnation of a worker lists, and up to which of them it may forget. */

type EndPhase = 'committing' | 'failed' | 'settled'

export interface EndNumbers {
  /** Highest number such that no end up to it is open; 0 for none. */
  readonly acknowledged: number
  /**
   * Takes the numbers of a list that are neither settled nor being committed. A list holds every end that the worker has
   * not forgotten, so that a number which it skips holds nothing open.
   */
  readonly take: (listed: readonly number[]) => ReadonlySet<number>
  /** Ends that are recorded, or certainly without effect. */
  readonly settle: (numbers: readonly number[]) => void
  /** Ends whose commit failed; the next list that holds them may take them again. */
  readonly release: (numbers: readonly number[]) => void
}

export const createEndNumbers = (): EndNumbers => {
  /** Listed ends above `acknowledged`. */
  const phases = new Map<number, EndPhase>()
  let acknowledged = 0

  const advance = (): void => {
    const ascending = [...phases].sort(([a], [b]) => a - b)
    for (const [number, phase] of ascending) {
      if (phase !== 'settled') return
      acknowledged = number
      phases.delete(number)
    }
  }

  return {
    get acknowledged() {
      return acknowledged
    },
    take: (listed) => {
      const taken = new Set<number>()
      for (const number of listed) {
        const phase = phases.get(number)
        if (number <= acknowledged || phase === 'committing' || phase === 'settled') continue
        phases.set(number, 'committing')
        taken.add(number)
      }
      return taken
    },
    settle: (numbers) => {
      for (const number of numbers) phases.set(number, 'settled')
      advance()
    },
    release: (numbers) => {
      for (const number of numbers) phases.set(number, 'failed')
    },
  }
}
