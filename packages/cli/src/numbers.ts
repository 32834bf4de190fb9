/** Parses numbers given on the command line. */
import * as results from 'ts-results-es'

import * as failures from './failure.js'

/** Parses options that must be non-negative integers. */
export function readWholeNumbers<K extends string>(
  texts: Readonly<Record<K, string>>,
): results.Result<Readonly<Record<K, number>>, failures.Failure> {
  const invalid = Object.entries<string>(texts).filter(([, text]) => !/^\d{1,15}$/u.test(text))
  if (invalid.length > 0) {
    const details = invalid.map(([name, text]) => `--${name} "${text}" is not a whole number`)
    return results.Err(failures.createFailure('usage', 'invalid number', details))
  }
  const entries = Object.entries<string>(texts).map(([name, text]) => [name, Number(text)] as const)
  return results.Ok(Object.fromEntries(entries) as Readonly<Record<K, number>>)
}
