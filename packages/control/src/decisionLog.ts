/** Recent decisions per subject, kept by the leader for `explain`. */
import type * as protocol from '@ebonyweir/protocol'

const MAX_SUBJECTS = 20_000
const MAX_PER_SUBJECT = 8

export type Explanation = protocol.operatorApi.Explanation

export interface DecisionLog {
  /** Adds a decision. If its text equals the subject's latest decision, it replaces that one. */
  readonly add: (subject: string, explanation: Explanation) => void
  /** Latest first. */
  readonly of: (subject: string) => readonly Explanation[]
}

export const createDecisionLog = (): DecisionLog => {
  const bySubject = new Map<string, readonly Explanation[]>()

  const add = (subject: string, explanation: Explanation): void => {
    const known = bySubject.get(subject) ?? []
    const earlier = known[0]?.text === explanation.text ? known.slice(1) : known
    // Deleting first moves the subject to the end of the map; eviction takes the first subject.
    bySubject.delete(subject)
    bySubject.set(subject, [explanation, ...earlier].slice(0, MAX_PER_SUBJECT))
    if (bySubject.size <= MAX_SUBJECTS) return
    const oldest = bySubject.keys().next()
    if (!oldest.done) bySubject.delete(oldest.value)
  }

  return { add, of: (subject) => bySubject.get(subject) ?? [] }
}
