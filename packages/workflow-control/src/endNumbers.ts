/** Tracks the numbers of the run ends that one worker incarnation reports, and up to which of them it may forget ends. */

type EndPhase = 'committing' | 'failed' | 'settled'

export interface EndNumbers {
  /** Highest number up to which all ends are settled; 0 for none. */
  readonly acknowledged: number
  /**
   * Marks listed numbers that are neither settled nor being committed as committing, and returns them. A list contains
   * the first ends that the worker has not forgotten, so a number that it skips between two listed ones is not open.
   */
  readonly take: (listed: readonly number[]) => ReadonlySet<number>
  /** Marks ends as settled: recorded, or certainly without effect. */
  readonly settle: (numbers: readonly number[]) => void
  /** Marks ends whose commit failed, so that the next list that contains them can take them again. */
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
