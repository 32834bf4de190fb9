/** Settings files of the daemon: parses TOML text into checked, read-only settings. */
import * as toml from 'smol-toml'
import * as results from 'ts-results-es'

import * as fields from './fields.js'
import * as schema from './schema.js'

/** Settings of an entry. */
export type EntrySettings = fields.FieldValues<typeof schema.entryFields> & {
  readonly role: 'entry'
}

/** Settings of an agent. */
export type AgentSettings = fields.FieldValues<typeof schema.agentFields> & {
  readonly role: 'agent'
}

/** Settings of a control replica. */
export type ControlSettings = fields.FieldValues<typeof schema.controlFields> & {
  readonly role: 'control'
}

/** Settings of one process. */
export type Settings = EntrySettings | AgentSettings | ControlSettings

/** A mistake in a settings file. */
export interface SettingsMistake extends fields.FieldMistake {
  readonly fileName: string
  /** Line of the mistake, from 1; 0 if the field is missing. */
  readonly line: number
}

/** Every mistake found in a settings file; at least one. */
export interface SettingsError {
  readonly mistakes: readonly SettingsMistake[]
}

const roleFields = {
  control: schema.controlFields,
  entry: schema.entryFields,
  agent: schema.agentFields,
} as const

/** Parses and checks the text of a settings file. Errors name file, line, field and accepted form. */
export function resolveSettings(
  tomlText: string,
  fileName: string,
): results.Result<Settings, SettingsError> {
  const parsed = parseToml(tomlText, fileName)
  if (parsed.isErr()) return parsed
  const table = parsed.value
  const role = schema.commonFields.role.read(table.role)
  const locate = (mistake: fields.FieldMistake): SettingsMistake => ({
    ...mistake,
    fileName,
    line: findLine(tomlText, mistake.field),
  })
  if (role === undefined) {
    const { mistakes } = fields.checkFields(
      { role: schema.commonFields.role },
      'role' in table ? { role: table.role } : {},
    )
    return results.Err({ mistakes: mistakes.map(locate) })
  }
  const checked = fields.checkFields<fields.Fields>(roleFields[role], table)
  if (checked.mistakes.length > 0) return results.Err({ mistakes: checked.mistakes.map(locate) })
  return results.Ok(checked.values as unknown as Settings)
}

/** Formats a mistake as one line: file, line, field and message. */
export function formatSettingsMistake(mistake: SettingsMistake): string {
  const location = mistake.line > 0 ? `${mistake.fileName}:${mistake.line}` : mistake.fileName
  return mistake.field === ''
    ? `${location}: ${mistake.message}`
    : `${location}: ${mistake.field}: ${mistake.message}`
}

function parseToml(
  tomlText: string,
  fileName: string,
): results.Result<Readonly<Record<string, unknown>>, SettingsError> {
  try {
    return results.Ok(toml.parse(tomlText))
  } catch (error) {
    if (!(error instanceof toml.TomlError)) throw error
    const message = `not valid TOML: ${summarizeTomlError(error.message)}`
    return results.Err({ mistakes: [{ fileName, line: error.line, field: '', message }] })
  }
}

function summarizeTomlError(message: string): string {
  return (message.split('\n')[0] ?? message).replace(/^Invalid TOML document: /u, '')
}

function findLine(tomlText: string, field: string): number {
  const lines = tomlText.split('\n')
  return lines.findIndex((line) => line.split('=')[0]?.trim() === field) + 1
}
