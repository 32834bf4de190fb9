/** Splits one line of the rules file into key, inline table and comment. */
import * as toml from 'smol-toml'
import * as results from 'ts-results-es'

/** Parts of a rule's line. */
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

/** True for a line that holds no rule. */
export function isBlankOrComment(line: string): boolean {
  const trimmed = line.trim()
  return trimmed === '' || trimmed.startsWith('#')
}

/**
 * Splits a line. Each `#` is tried from the left, and the TOML library decides whether what stands
 * before it is complete, so a `#` inside a string is not taken for the comment.
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
  const named = kind === undefined ? undefined : document[kind]
  if (kind === undefined || otherKinds.length > 0 || !isTable(named)) return results.Err(LINE_FORM)
  const [name, ...otherNames] = Object.keys(named)
  const table = name === undefined ? undefined : named[name]
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
