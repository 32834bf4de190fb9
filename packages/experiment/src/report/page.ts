/** HTML page with tables and plots; the data and the plotting library are embedded. */
import * as fs from 'node:fs'
import * as nodeModule from 'node:module'

export interface PlotLine {
  readonly label: string
  readonly values: readonly (number | null)[]
}

export interface Plot {
  readonly title: string
  readonly xLabel: string
  readonly yLabel: string
  readonly x: readonly number[]
  readonly lines: readonly PlotLine[]
}

export interface Section {
  readonly title: string
  /** First row is the header. */
  readonly table: readonly (readonly string[])[]
  readonly plots: readonly Plot[]
}

const COLORS = ['#1b6ca8', '#c0392b', '#2e8b57', '#8e44ad', '#d68910', '#555555', '#00838f']

const escapeHtml = (text: string): string =>
  text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;')

const renderTable = ([head = [], ...rows]: Section['table']): string => {
  const row = (cells: readonly string[], tag: string): string =>
    `<tr>${cells.map((cell) => `<${tag}>${escapeHtml(cell)}</${tag}>`).join('')}</tr>`
  return `<table>${row(head, 'th')}${rows.map((cells) => row(cells, 'td')).join('')}</table>`
}

const SCRIPT = `
for (const plot of plots) {
  const series = [{ label: plot.xLabel }, ...plot.lines.map((line, index) => ({
    label: line.label, stroke: colors[index % colors.length], width: 1.5, spanGaps: true,
  }))]
  const axes = [{ label: plot.xLabel }, { label: plot.yLabel }]
  const options = { title: plot.title, width: 900, height: 300, series, axes, scales: { x: { time: false } } }
  const data = [plot.x, ...plot.lines.map((line) => line.values)]
  new uPlot(options, data, document.getElementById(plot.id))
}`

/** Renders the page; it needs no network. */
export const renderPage = (title: string, sections: readonly Section[]): string => {
  const require = nodeModule.createRequire(import.meta.url)
  const library = fs.readFileSync(require.resolve('uplot/dist/uPlot.iife.min.js'), 'utf8')
  const style = fs.readFileSync(require.resolve('uplot/dist/uPlot.min.css'), 'utf8')
  const plots = sections.flatMap((section, s) =>
    section.plots.map((plot, p) => ({ ...plot, id: `plot-${s}-${p}` })),
  )
  const body = sections.map((section, s) => {
    const plotElements = section.plots.map((_, p) => `<div id="plot-${s}-${p}"></div>`).join('')
    return `<h2>${escapeHtml(section.title)}</h2>${renderTable(section.table)}${plotElements}`
  })
  const data = JSON.stringify(plots).replaceAll('<', '\\u003c')
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${escapeHtml(title)}</title><style>${style}
body { font-family: sans-serif; margin: 2rem; } table { border-collapse: collapse; }
td, th { border: 1px solid #ccc; padding: 2px 8px; text-align: right; } td:first-child { text-align: left; }
</style></head><body><h1>${escapeHtml(title)}</h1>${body.join('\n')}
<script>${library}</script><script>const plots = ${data}; const colors = ${JSON.stringify(COLORS)};${SCRIPT}</script>
</body></html>
`
}
