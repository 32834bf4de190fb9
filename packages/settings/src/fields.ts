/**
 * Typed fields of a TOML table: one description per field gives its type, its check, the text of its
 * errors and its line in the reference. A schema library is not used here because agents load this
 * module, and zod adds 12 MB of resident memory to a process.
 */
import * as levenshtein from 'fastest-levenshtein'

/** A field of type `T` as it is described to people and checked. */
export interface Field<T> {
  /** Accepted form, for example "a whole number from 1 to 1024". */
  readonly form: string
  /** Unit of a number; empty for none. */
  readonly unit: string
  readonly doc: string
  /** Value of an absent field; undefined if the field is required. */
  readonly fallback: T | undefined
  /** Gives the value, or undefined if it does not have the accepted form. */
  readonly read: (value: unknown) => T | undefined
}

/** Fields of a table by name. */
export type Fields = Readonly<Record<string, Field<unknown>>>

/** Type of a table that was checked against `F`. */
export type FieldValues<F extends Fields> = {
  readonly [K in keyof F]: F[K] extends Field<infer T> ? T : never
}

/** A mistake in one field; `field` is empty when it concerns the whole table. */
export interface FieldMistake {
  readonly field: string
  readonly message: string
}

/** Values of a table, usable only if `mistakes` is empty. */
export interface CheckedFields<F extends Fields> {
  readonly values: FieldValues<F>
  readonly mistakes: readonly FieldMistake[]
}

/** Options of every field. */
export interface FieldOptions<T> {
  readonly doc: string
  /** Absent for a required field. */
  readonly fallback?: T
}

/** Options of a number. */
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

/** true or false. */
export function flag(options: FieldOptions<boolean>): Field<boolean> {
  return {
    form: 'true or false',
    unit: '',
    doc: options.doc,
    fallback: options.fallback,
    read: (value) => (typeof value === 'boolean' ? value : undefined),
  }
}

/** One of a few words. */
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

/** Options of a text. */
export interface TextOptions extends FieldOptions<string> {
  /** Accepted form in words, for example "a name of lower-case letters". */
  readonly form: string
  readonly accepts: (value: string) => boolean
}

/** A text that `accepts` holds for. */
export function text(options: TextOptions): Field<string> {
  return {
    form: options.form,
    unit: '',
    doc: options.doc,
    fallback: options.fallback,
    read: (value) => (typeof value === 'string' && options.accepts(value) ? value : undefined),
  }
}

/** Options of a list. */
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
      mistakes.push({ field: name, message: `${show(table[name])} is not ${field.form}` })
    }
    values[name] = value
  }
  return { values: values as FieldValues<F>, mistakes }
}

/** Reads a table that was checked before, perhaps by a newer version: ignores what it does not know. */
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

/** "unknown", with the most similar accepted word, or all of them if none is similar. */
export function describeUnknown(word: string, accepted: readonly string[]): string {
  const similar = findSimilar(word, accepted)
  if (similar !== undefined) return `unknown; did you mean "${similar}"?`
  return `unknown; accepted are ${accepted.join(', ')}`
}

/** Largest share of a word's letters that may differ for a suggestion. */
const MAX_SUGGESTION_RATIO = 0.4

function findSimilar(word: string, accepted: readonly string[]): string | undefined {
  const ranked = accepted
    .map((candidate) => ({ candidate, distance: levenshtein.distance(word, candidate) }))
    .sort((a, b) => a.distance - b.distance)
  const best = ranked[0]
  if (best === undefined) return undefined
  return best.distance <= word.length * MAX_SUGGESTION_RATIO ? best.candidate : undefined
}

function show(value: unknown): string {
  return typeof value === 'bigint' ? value.toString() : JSON.stringify(value)
}
