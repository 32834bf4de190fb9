/** Placement rules that apply to a job or a service. */
import type * as types from './types.js'

const cache = new WeakMap<types.RuleSet, Map<string, readonly types.PlacementRule[]>>()

/** Limits the cache size, since job submissions choose the names. */
const MAX_CACHED_NAMES = 10_000

/** Names that placement rules are matched against: name and kind of a job, or name of a service. */
export type MatchNames = readonly string[]

const compileGlob = (glob: string): RegExp => {
  const parts = glob.split('*').map((part) => part.replace(/[.+?^${}()|[\]\\]/g, '\\$&'))
  return new RegExp(`^${parts.join('.*')}$`)
}

const findRules = (set: types.RuleSet, names: MatchNames): readonly types.PlacementRule[] =>
  set.placements.filter((rule) => {
    const pattern = compileGlob(rule.match)
    return names.some((name) => pattern.test(name))
  })

/** All rules whose `match` covers one of the names. A placement must satisfy all of them. */
export const placementRulesFor = (
  set: types.RuleSet,
  names: MatchNames,
): readonly types.PlacementRule[] => {
  if (set.placements.length === 0) return []
  const known = cache.get(set) ?? new Map<string, readonly types.PlacementRule[]>()
  cache.set(set, known)
  const key = names.join(' ')
  const found = known.get(key)
  if (found !== undefined) return found
  if (known.size >= MAX_CACHED_NAMES) known.clear()
  const rules = findRules(set, names)
  known.set(key, rules)
  return rules
}

/** First rule that forbids the failure domain for these names, if any. */
export const placementRefusal = (
  set: types.RuleSet,
  names: MatchNames,
  failureDomain: string,
): types.PlacementRule | undefined =>
  placementRulesFor(set, names).find(
    (rule) => rule.failureDomains.length > 0 && !rule.failureDomains.includes(failureDomain),
  )
