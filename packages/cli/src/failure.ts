/** Failures of commands as values: a code for scripts and a text for people. */
import type * as protocol from '@ebonyweir/protocol'

import * as exitCodes from './exitCodes.js'

/** Kind of a failure; decides the exit code. */
export type FailureKind = 'refused' | 'usage' | 'conflict' | 'unreachable' | 'unknown'

/** Why a command failed. */
export interface Failure {
  readonly kind: FailureKind
  readonly message: string
  /** More lines, for example one for each mistake of a file. */
  readonly details: readonly string[]
  /** Rule behind a refusal. */
  readonly rule?: protocol.operatorApi.RuleReference
  /** Error code of the server, for example "too-old"; absent if no server answered. */
  readonly code?: string
  /** Body of the server's answer. */
  readonly body?: unknown
}

const codes: Readonly<Record<FailureKind, number>> = {
  refused: exitCodes.REFUSED,
  usage: exitCodes.USAGE,
  conflict: exitCodes.CONFLICT,
  unreachable: exitCodes.UNREACHABLE,
  unknown: exitCodes.UNKNOWN,
}

/** Exit code of a failure. */
export function exitCodeOf(failure: Failure): number {
  return codes[failure.kind]
}

/** Creates a failure without a server's answer. */
export function createFailure(
  kind: FailureKind,
  message: string,
  details: readonly string[] = [],
): Failure {
  return { kind, message, details }
}

/** "rules line 7 (requested by Yann Le Goff)"; empty without a rule. */
export function describeRule(rule: protocol.operatorApi.RuleReference | undefined): string {
  if (rule === undefined) return ''
  return `${rule.key}, line ${rule.line} (requested by ${rule.requestedBy})`
}

/** Lines for standard error. */
export function formatFailure(failure: Failure): string {
  const rule = failure.rule === undefined ? [] : [`rule: ${describeRule(failure.rule)}`]
  const lines = [failure.message, ...failure.details, ...rule]
  return `${lines.join('\n  ')}\n`
}
