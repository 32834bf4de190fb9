/** Compared policies: the production policy (`ours`), the same with one part off, and baselines. */
import type * as scheduling from '@ebonyweir/scheduling'

export interface Policy {
  readonly name: string
  readonly group: 'ours' | 'part off' | 'baseline' | 'no batch'
  readonly parts: Partial<scheduling.PolicyParts>
}

/**
 * Parts that the simple policies leave out. They keep what operators require of any policy: runners
 * first, urgent tasks start within 10 s, and no tasks in a failure domain that is out of service.
 */
const SIMPLE = {
  guard: false,
  victim: 'newest',
  interferencePlacement: false,
  deferral: false,
  spread: false,
  refill: false,
  quarantine: false,
} as const

export const POLICIES: readonly Policy[] = [
  { name: 'no batch', group: 'no batch', parts: {} },
  { name: 'ours', group: 'ours', parts: {} },
  {
    name: 'with harm in the cost',
    group: 'part off',
    parts: { interferencePlacement: true },
  },
  { name: 'without deferral', group: 'part off', parts: { deferral: false } },
  { name: 'without spread', group: 'part off', parts: { spread: false } },
  { name: 'without refill', group: 'part off', parts: { refill: false } },
  { name: 'without quarantine', group: 'part off', parts: { quarantine: false } },
  { name: 'without drain order', group: 'part off', parts: { drainOrder: false } },
  { name: 'without preemption', group: 'part off', parts: { preemption: false } },
  { name: 'no guard', group: 'baseline', parts: { guard: false } },
  { name: 'evict newest', group: 'baseline', parts: { victim: 'newest' } },
  { name: 'random', group: 'baseline', parts: { ...SIMPLE, placement: 'random' } },
  { name: 'first fit', group: 'baseline', parts: { ...SIMPLE, placement: 'firstFit' } },
  { name: 'round robin', group: 'baseline', parts: { ...SIMPLE, placement: 'roundRobin' } },
]
