/** Resolves the CLI configuration from options, then the environment, then a TOML file. */
import * as fs from 'node:fs'

import * as settings from '@ebonyweir/settings'
import * as fields from '@ebonyweir/settings/fields'
import * as results from 'ts-results-es'
import * as toml from 'smol-toml'

import * as failures from './failure.js'

/** Resolved configuration of the CLI. */
export interface CliConfiguration {
  readonly controlAddresses: readonly string[]
  readonly entryAddresses: readonly string[]
  /** Name used when a command has no `--by`; empty for none. */
  readonly operator: string
}

/** Values from the command line and the environment. */
export interface ConfigurationInput {
  readonly control: readonly string[]
  readonly entry: readonly string[]
  /** Path of the configuration file; undefined for the default file, which may be missing. */
  readonly configFile: string | undefined
  readonly environment: Readonly<Record<string, string | undefined>>
}

/** Environment variable with comma-separated control addresses. */
export const CONTROL_VARIABLE = 'EBONYWEIR_CONTROL'

/** Environment variable with comma-separated entry addresses. */
export const ENTRY_VARIABLE = 'EBONYWEIR_ENTRY'

/** Configuration file in the working directory. */
export const DEFAULT_CONFIG_FILE = 'ebonyweir.toml'

const address = fields.text({
  form: 'an HTTP address such as "10.0.0.1:7001"',
  doc: '',
  accepts: settings.isPeerAddress,
})

/** Fields of the CLI configuration file. */
export const cliFields = {
  controlAddresses: fields.list(address, {
    fallback: [],
    doc: 'HTTP addresses of the control replicas.',
  }),
  entryAddresses: fields.list(address, {
    fallback: [],
    doc: 'HTTP addresses of the entries, for `report burn`.',
  }),
  operator: fields.text({
    form: 'a name',
    doc: 'Name used when a command has no `--by`.',
    accepts: () => true,
    fallback: '',
  }),
} as const

/** Resolves the configuration; the command line overrides the environment, which overrides the file. */
export function resolveConfiguration(
  input: ConfigurationInput,
): results.Result<CliConfiguration, failures.Failure> {
  const file = readFile(input.configFile)
  if (file.isErr()) return file
  const { control, entry, environment } = input
  const resolved = {
    controlAddresses: firstNonEmpty(
      control,
      splitCommaList(environment[CONTROL_VARIABLE]),
      file.value.controlAddresses,
    ),
    entryAddresses: firstNonEmpty(
      entry,
      splitCommaList(environment[ENTRY_VARIABLE]),
      file.value.entryAddresses,
    ),
    operator: file.value.operator,
  }
  const invalid = [...resolved.controlAddresses, ...resolved.entryAddresses].find(
    (value) => !settings.isPeerAddress(value),
  )
  return invalid === undefined
    ? results.Ok(resolved)
    : results.Err(failures.createFailure('usage', `"${invalid}" is not ${address.form}`))
}

/** Splits a comma-separated list; undefined gives an empty list. */
export function splitCommaList(text: string | undefined): readonly string[] {
  return (text ?? '')
    .split(',')
    .map((part) => part.trim())
    .filter((part) => part !== '')
}

function firstNonEmpty(...lists: readonly (readonly string[])[]): readonly string[] {
  return lists.find((list) => list.length > 0) ?? []
}

function readFile(name: string | undefined): results.Result<CliConfiguration, failures.Failure> {
  const fileName = name ?? DEFAULT_CONFIG_FILE
  if (name === undefined && !fs.existsSync(fileName)) {
    return results.Ok({ controlAddresses: [], entryAddresses: [], operator: '' })
  }
  const fail = (details: readonly string[]): results.Err<failures.Failure> =>
    results.Err(failures.createFailure('usage', `${fileName} cannot be used`, details))
  try {
    const { values, mistakes } = fields.checkFields(
      cliFields,
      toml.parse(fs.readFileSync(fileName, 'utf8')),
    )
    if (mistakes.length === 0) return results.Ok(values)
    return fail(mistakes.map(({ field, message }) => `${field}: ${message}`))
  } catch (error) {
    return fail([error instanceof Error ? error.message : String(error)])
  }
}
