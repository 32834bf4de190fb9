/** Tables and linear fits of the capacity benchmark. */

/** One row of measured values by name. */
export type Row = Readonly<Record<string, number>>

/** A line fitted by least squares. */
export interface Fit {
  readonly slope: number
  readonly intercept: number
  /** Largest vertical distance of a point from the line. */
  readonly residual: number
}

/** Fits y = intercept + slope · x. */
export const fitLine = (points: readonly (readonly [x: number, y: number])[]): Fit => {
  const n = points.length
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / n
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / n
  const sumSquaresX = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
  const sumProducts = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0)
  const slope = sumSquaresX === 0 ? 0 : sumProducts / sumSquaresX
  const intercept = meanY - slope * meanX
  const residual = Math.max(...points.map(([x, y]) => Math.abs(y - intercept - slope * x)))
  return { slope, intercept, residual }
}

const formatNumber = (value: number): string => String(Number(value.toPrecision(4)))

/** Renders rows as a Markdown table, and for every other column a linear fit over the column `by`. */
export const renderTable = (title: string, by: string, rows: readonly Row[]): string => {
  const names = Object.keys(rows[0] ?? {})
  const line = (cells: readonly string[]) => `| ${cells.join(' | ')} |`
  const body = rows.map((row) => line(names.map((name) => formatNumber(row[name] ?? NaN))))
  const fits = names
    .filter((name) => name !== by)
    .map((name) => {
      const fit = fitLine(rows.map((row) => [row[by] ?? 0, row[name] ?? 0] as const))
      return `- ${name} = ${formatNumber(fit.intercept)} + ${formatNumber(fit.slope)} · ${by}, largest residual ${formatNumber(fit.residual)}`
    })
  return [
    `## ${title}`,
    '',
    line(names),
    line(names.map(() => '---')),
    ...body,
    '',
    ...fits,
    '',
  ].join('\n')
}

/** Value below which the given share of the sorted values lies. */
export const quantile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN
