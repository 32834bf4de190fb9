/** Weighted max-min allocation: nobody gets more than asked for, and what one leaves is divided among the others. */

export interface Claimant {
  readonly weight: number
  readonly demand: number
}

/** Allocation of each claimant, in their order; together at most `capacity`. */
export const allocate = (capacity: number, claimants: readonly Claimant[]): readonly number[] => {
  const allocations = claimants.map(() => 0)
  const byLevel = claimants
    .map(({ weight, demand }, index) => ({ weight, demand, index }))
    .sort((a, b) => a.demand / a.weight - b.demand / b.weight)
  let leftCapacity = capacity
  let leftWeight = claimants.reduce((sum, { weight }) => sum + weight, 0)
  for (const { weight, demand, index } of byLevel) {
    const share = leftWeight > 0 ? (leftCapacity * weight) / leftWeight : 0
    const allocation = Math.max(0, Math.min(demand, share))
    allocations[index] = allocation
    leftCapacity -= allocation
    leftWeight -= weight
  }
  return allocations
}
