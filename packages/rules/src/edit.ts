/** Edits of a rules text that leave every other line as it is. */
import * as results from 'ts-results-es'

import * as parse from './parse.js'
import type * as types from './types.js'

/** Change to the state of a failure domain. */
export interface FailureDomainEdit {
  readonly failureDomain: string
  readonly state: types.FailureDomainRule['state']
  /** Becomes the comment of the line; one line of text. */
  readonly requestedBy: string
}

/** An edited text and the rule that was replaced. */
export interface EditedRules {
  readonly text: string
  /** False if the failure domain already had that state; the text is then unchanged. */
  readonly changed: boolean
  readonly before: types.FailureDomainRule | undefined
}

/** Sets the state of a failure domain; appends a line if the text has none for it. */
export function editFailureDomain(
  text: string,
  fileName: string,
  edit: FailureDomainEdit,
): results.Result<EditedRules, types.RulesError> {
  const parsed = parse.parseRules(text, fileName)
  if (parsed.isErr()) return parsed
  const before = parsed.value.failureDomains.get(edit.failureDomain)
  if (before?.state === edit.state) return results.Ok({ text, changed: false, before })
  const line = `failureDomain.${edit.failureDomain} = { state = "${edit.state}" } # ${edit.requestedBy}`
  const edited =
    before === undefined ? appendLine(text, line) : replaceLine(text, before.line, line)
  const checked = parse.parseRules(edited, fileName)
  return checked.isErr() ? checked : results.Ok({ text: edited, changed: true, before })
}

function appendLine(text: string, line: string): string {
  const separator = text === '' || text.endsWith('\n') ? '' : '\n'
  return `${text}${separator}${line}\n`
}

function replaceLine(text: string, lineNumber: number, line: string): string {
  const lines = text.split('\n')
  const ending = lines[lineNumber - 1]?.endsWith('\r') === true ? '\r' : ''
  lines[lineNumber - 1] = `${line}${ending}`
  return lines.join('\n')
}
