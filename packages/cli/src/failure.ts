/** Command failures as values: an exit code for scripts and a human-readable message. */
import type * as protocol from '@ebonyweir/protocol'

import * as exitCodes from './exitCodes.js'

/** Kind of a failure; determines the exit code. */
export type FailureKind = 'refused' | 'usage' | 'conflict' | 'unreachable' | 'unknown'

/** Why a command failed. */
export interface Failure {
  readonly kind: FailureKind
  readonly message: string
  /** Additional lines, for example one for each mistake in a file. */
  readonly details: readonly string[]
  /** Rule behind a refusal. */
  readonly rule?: protocol.operatorApi.RuleReference
  /** Error code of the server, for example "too-old"; absent if no server answered. */
  readonly code?: string
  /** Body of the server's answer. */
  readonly body?: unknown
}

const exitCodeByKind: Readonly<Record<FailureKind, number>> = {
  refused: exitCodes.REFUSED,
  usage: exitCodes.USAGE,
  conflict: exitCodes.CONFLICT,
  unreachable: exitCodes.UNREACHABLE,
  unknown: exitCodes.UNKNOWN,
}

export function exitCodeOf(failure: Failure): number {
  return exitCodeByKind[failure.kind]
}

/** Creates a failure that carries no server response. */
export function createFailure(
  kind: FailureKind,
  message: string,
  details: readonly string[] = [],
): Failure {
  return { kind, message, details }
}

/** Formats a rule as "KEY, line 7 (requested by Yann Le Goff)"; empty without a rule. */
export function describeRule(rule: protocol.operatorApi.RuleReference | undefined): string {
  if (rule === undefined) return ''
  return `${rule.key}, line ${rule.line} (requested by ${rule.requestedBy})`
}

/** Formats a failure for standard error. */
export function formatFailure(failure: Failure): string {
  const rule = failure.rule === undefined ? [] : [`rule: ${describeRule(failure.rule)}`]
  const lines = [failure.message, ...failure.details, ...rule]
  return `${lines.join('\n  ')}\n`
}
