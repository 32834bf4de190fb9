/** Splits one line of the rules file into key, inline table and comment. */
import * as toml from 'smol-toml'
import * as results from 'ts-results-es'

/** Parts of a line that holds a rule. */
export interface RuleLine {
  readonly kind: string
  readonly name: string
  readonly table: Readonly<Record<string, unknown>>
  /** The inline table as written. */
  readonly body: string
  /** Text of the comment; empty if there is none. */
  readonly comment: string
}

const LINE_FORM = 'a rule is one line of the form kind.name = { field = value } # who asked for it'

export function isBlankOrComment(line: string): boolean {
  const trimmed = line.trim()
  return trimmed === '' || trimmed.startsWith('#')
}

/**
 * Splits a line. Tries each `#` from the left as the start of the comment and lets the TOML library
 * decide whether the text before it is complete, so that a `#` inside a string does not start one.
 */
export function splitRuleLine(line: string): results.Result<RuleLine, string> {
  for (const end of commentCandidates(line)) {
    const parsed = parseToml(line.slice(0, end))
    if (parsed.isErr()) continue
    return readParts(parsed.value, line.slice(0, end), line.slice(end + 1).trim())
  }
  const whole = parseToml(line)
  return whole.isErr() ? whole : results.Err(LINE_FORM)
}

function commentCandidates(line: string): readonly number[] {
  const positions = [...line.matchAll(/#/gu)].map((match) => match.index)
  return [...positions, line.length]
}

function readParts(
  document: Readonly<Record<string, unknown>>,
  source: string,
  comment: string,
): results.Result<RuleLine, string> {
  const [kind, ...otherKinds] = Object.keys(document)
  const kindTable = kind === undefined ? undefined : document[kind]
  if (kind === undefined || otherKinds.length > 0 || !isTable(kindTable))
    return results.Err(LINE_FORM)
  const [name, ...otherNames] = Object.keys(kindTable)
  const table = name === undefined ? undefined : kindTable[name]
  if (name === undefined || otherNames.length > 0 || !isTable(table)) return results.Err(LINE_FORM)
  const body = source.slice(source.indexOf('=') + 1).trim()
  return body.startsWith('{')
    ? results.Ok({ kind, name, table, body, comment })
    : results.Err(LINE_FORM)
}

function parseToml(text: string): results.Result<Readonly<Record<string, unknown>>, string> {
  try {
    return results.Ok(toml.parse(text))
  } catch (error) {
    if (!(error instanceof toml.TomlError)) throw error
    const reason = (error.message.split('\n')[0] ?? '').replace(/^Invalid TOML document: /u, '')
    return results.Err(`not valid TOML at column ${error.column}: ${reason}; ${LINE_FORM}`)
  }
}

function isTable(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
