/**
 * Typed fields of a TOML table: one description per field yields its type, its check, its error
 * messages and its line in the reference. A schema library is not used because agents load this
 * module, and zod adds 12 MB of resident memory to a process.
 */
import * as levenshtein from 'fastest-levenshtein'

/** Documentation and check of a field of type `T`. */
export interface Field<T> {
  /** Accepted form, for example "a whole number from 1 to 1024". */
  readonly form: string
  /** Unit of a number; empty for none. */
  readonly unit: string
  readonly doc: string
  /** Value of an absent field; undefined if the field is required. */
  readonly fallback: T | undefined
  /** Returns the value, or undefined if it does not have the accepted form. */
  readonly read: (value: unknown) => T | undefined
}

/** Fields of a table by name. */
export type Fields = Readonly<Record<string, Field<unknown>>>

/** Values of a table that was checked against `F`. */
export type FieldValues<F extends Fields> = {
  readonly [K in keyof F]: F[K] extends Field<infer T> ? T : never
}

/** A mistake in one field; `field` is empty if it concerns the whole table. */
export interface FieldMistake {
  readonly field: string
  readonly message: string
}

/** Values of a table, usable only if `mistakes` is empty. */
export interface CheckedFields<F extends Fields> {
  readonly values: FieldValues<F>
  readonly mistakes: readonly FieldMistake[]
}

/** Options that all fields have. */
export interface FieldOptions<T> {
  readonly doc: string
  /** Absent for a required field. */
  readonly fallback?: T
}

/** Options of a number field. */
export interface NumberOptions extends FieldOptions<number> {
  readonly min: number
  readonly max: number
  /** @default '' */
  readonly unit?: string
}

/** A whole number from `min` to `max`. */
export function integer(options: NumberOptions): Field<number> {
  const { min, max } = options
  return {
    form: `a whole number from ${min} to ${max}`,
    unit: options.unit ?? '',
    doc: options.doc,
    fallback: options.fallback,
    read: (value) =>
      typeof value === 'number' && Number.isInteger(value) && value >= min && value <= max
        ? value
        : undefined,
  }
}

/** A number from `min` to `max`. */
export function decimal(options: NumberOptions): Field<number> {
  const { min, max } = options
  return {
    form: `a number from ${min} to ${max}`,
    unit: options.unit ?? '',
    doc: options.doc,
    fallback: options.fallback,
    read: (value) =>
      typeof value === 'number' && value >= min && value <= max ? value : undefined,
  }
}

export function flag(options: FieldOptions<boolean>): Field<boolean> {
  return {
    form: 'true or false',
    unit: '',
    doc: options.doc,
    fallback: options.fallback,
    read: (value) => (typeof value === 'boolean' ? value : undefined),
  }
}

/** One of a fixed set of strings. */
export function choice<const T extends string>(
  choices: readonly T[],
  options: FieldOptions<NoInfer<T>>,
): Field<T> {
  return {
    form: `one of ${choices.map((word) => `"${word}"`).join(', ')}`,
    unit: '',
    doc: options.doc,
    fallback: options.fallback,
    read: (value) => choices.find((word) => word === value),
  }
}

/** Options of a text field. */
export interface TextOptions extends FieldOptions<string> {
  /** Accepted form in words, for example "a name of lower-case letters". */
  readonly form: string
  readonly accepts: (value: string) => boolean
}

/** A string for which `accepts` returns true. */
export function text(options: TextOptions): Field<string> {
  return {
    form: options.form,
    unit: '',
    doc: options.doc,
    fallback: options.fallback,
    read: (value) => (typeof value === 'string' && options.accepts(value) ? value : undefined),
  }
}

/** Options of a list field. */
export interface ListOptions<T> extends FieldOptions<readonly T[]> {
  /** @default 0 */
  readonly minLength?: number
}

/** A list whose items each have the form of `item`. */
export function list<T>(item: Field<T>, options: ListOptions<T>): Field<readonly T[]> {
  const minLength = options.minLength ?? 0
  return {
    form: `a list of ${minLength} or more items, each ${item.form}`,
    unit: item.unit,
    doc: options.doc,
    fallback: options.fallback,
    read: (value) => {
      if (!Array.isArray(value) || value.length < minLength) return undefined
      const items = value.map((entry) => item.read(entry))
      return items.every((entry) => entry !== undefined) ? items : undefined
    },
  }
}

/** Checks a parsed TOML table and reports every mistake in it. */
export function checkFields<F extends Fields>(
  fields: F,
  table: Readonly<Record<string, unknown>>,
): CheckedFields<F> {
  const mistakes: FieldMistake[] = []
  const values: Record<string, unknown> = {}
  const unknown = Object.keys(table).filter((name) => !Object.hasOwn(fields, name))
  for (const name of unknown) {
    mistakes.push({ field: name, message: describeUnknown(name, Object.keys(fields)) })
  }
  for (const [name, field] of Object.entries(fields)) {
    if (!Object.hasOwn(table, name)) {
      if (field.fallback === undefined) {
        mistakes.push({ field: name, message: `missing; it must be ${field.form}` })
      }
      values[name] = field.fallback
      continue
    }
    const value = field.read(table[name])
    if (value === undefined) {
      mistakes.push({ field: name, message: `${formatValue(table[name])} is not ${field.form}` })
    }
    values[name] = value
  }
  return { values: values as FieldValues<F>, mistakes }
}

/** Reads a table that was checked earlier, possibly by a newer version; ignores unknown fields. */
export function readFields<F extends Fields>(
  fields: F,
  table: Readonly<Record<string, unknown>>,
): FieldValues<F> | undefined {
  const known = Object.fromEntries(
    Object.entries(table).filter(([name]) => Object.hasOwn(fields, name)),
  )
  const checked = checkFields(fields, known)
  return checked.mistakes.length === 0 ? checked.values : undefined
}

/** Describes an unknown word; suggests the most similar accepted one, or lists all if none is similar. */
export function describeUnknown(word: string, accepted: readonly string[]): string {
  const similar = findSimilar(word, accepted)
  if (similar !== undefined) return `unknown; did you mean "${similar}"?`
  return `unknown; accepted are ${accepted.join(', ')}`
}

/** Largest edit distance of a suggestion, as a share of the word's length. */
const MAX_SUGGESTION_RATIO = 0.4

function findSimilar(word: string, accepted: readonly string[]): string | undefined {
  const ranked = accepted
    .map((candidate) => ({ candidate, distance: levenshtein.distance(word, candidate) }))
    .sort((a, b) => a.distance - b.distance)
  const best = ranked[0]
  if (best === undefined) return undefined
  return best.distance <= word.length * MAX_SUGGESTION_RATIO ? best.candidate : undefined
}

function formatValue(value: unknown): string {
  return typeof value === 'bigint' ? value.toString() : JSON.stringify(value)
}
