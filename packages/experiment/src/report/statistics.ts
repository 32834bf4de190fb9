/** Mean and spread over seeds. */

export interface Spread {
  readonly mean: number
  readonly min: number
  readonly max: number
}

export const spreadOf = (values: readonly number[]): Spread => ({
  mean: values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length),
  min: Math.min(...values),
  max: Math.max(...values),
})

/** Formats a spread as "1.12 (1.08–1.15)". */
export const formatSpread = ({ mean, min, max }: Spread, digits: number): string =>
  `${mean.toFixed(digits)} (${min.toFixed(digits)}–${max.toFixed(digits)})`

/** Compares two policies over the same seeds: mean difference and its standard error. */
export const comparePairs = (
  a: readonly number[],
  b: readonly number[],
): { readonly difference: number; readonly error: number } => {
  const differences = a.map((value, index) => value - (b[index] ?? value))
  const { mean } = spreadOf(differences)
  const squares = differences.reduce((sum, value) => sum + (value - mean) ** 2, 0)
  const degrees = Math.max(1, differences.length - 1)
  return { difference: mean, error: Math.sqrt(squares / degrees / Math.max(1, differences.length)) }
}
