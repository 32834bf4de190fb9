/** Types of parsed rules. */
import type * as fields from '@ebonyweir/settings/fields'

import type * as schema from './schema.js'

/** Identity and origin of a rule; all kinds have these besides their fields. */
export interface RuleOrigin<K extends schema.RuleKind = schema.RuleKind> {
  readonly kind: K
  readonly name: string
  /** "kind.name". */
  readonly key: string
  /** Line in the rules file, from 1. */
  readonly line: number
  /** The comment of the line: who asked for the rule. */
  readonly requestedBy: string
  /** The rule's TOML inline table, as written. */
  readonly body: string
}

type RuleOf<K extends schema.RuleKind> = RuleOrigin<K> &
  fields.FieldValues<(typeof schema.kindFields)[K]>

export type ServiceRule = RuleOf<'service'>
export type TeamRule = RuleOf<'team'>
export type PlacementRule = RuleOf<'placement'>
export type FailureDomainRule = RuleOf<'failureDomain'>
export type GuardRule = RuleOf<'guard'>
export type WeightingRule = RuleOf<'weighting'>

/** A rule of any kind; stands on one line of the rules file. */
export type Rule =
  ServiceRule | TeamRule | PlacementRule | FailureDomainRule | GuardRule | WeightingRule

/** A checked rules file; each map is keyed by the rule's name, in the order of the file. */
export interface RuleSet {
  readonly rules: readonly Rule[]
  readonly services: ReadonlyMap<string, ServiceRule>
  readonly teams: ReadonlyMap<string, TeamRule>
  readonly placements: ReadonlyMap<string, PlacementRule>
  readonly failureDomains: ReadonlyMap<string, FailureDomainRule>
  readonly guards: ReadonlyMap<string, GuardRule>
  readonly weightings: ReadonlyMap<string, WeightingRule>
}

/** A mistake in a rules file. */
export interface RuleMistake {
  readonly fileName: string
  /** From 1. */
  readonly line: number
  /** "kind.name.field" or "kind.name"; empty if the line could not be read. */
  readonly field: string
  readonly message: string
}

/** Every mistake found in a rules file; at least one. */
export interface RulesError {
  readonly mistakes: readonly RuleMistake[]
}

/** Form in which entries and agents receive a rule; same fields as `protocol.common.RuleRecord`. */
export interface DistributedRule {
  readonly key: string
  readonly line: number
  readonly requestedBy: string
  readonly body: string
}
