/** Numbers given on the command line. */
import * as results from 'ts-results-es'

import * as failures from './failure.js'

/** Reads options that must be whole numbers from 0. */
export function readWholeNumbers<K extends string>(
  texts: Readonly<Record<K, string>>,
): results.Result<Readonly<Record<K, number>>, failures.Failure> {
  const wrong = Object.entries<string>(texts).filter(([, text]) => !/^\d{1,15}$/u.test(text))
  if (wrong.length > 0) {
    const details = wrong.map(([name, text]) => `--${name} "${text}" is not a whole number`)
    return results.Err(failures.createFailure('usage', 'a number is missing', details))
  }
  const entries = Object.entries<string>(texts).map(([name, text]) => [name, Number(text)] as const)
  return results.Ok(Object.fromEntries(entries) as Readonly<Record<K, number>>)
}
