/** HTML page of the burn report: one file with data, plotting library and styles inlined. */
import * as fs from 'node:fs'
import * as nodeModule from 'node:module'

import type * as burnSources from './burnSources.js'
import * as burnText from './burnText.js'

const require = nodeModule.createRequire(import.meta.url)

/** Draws the plots; earlier scripts of the page define `report` and `uPlot`. */
const DRAW_SCRIPT = `
for (const service of report.services) {
  const times = service.intervals.map((interval) => interval.startMs / 1000)
  const draw = (id, title, label, values, limits) => new uPlot({
    title, width: 900, height: 240,
    scales: { y: { range: (_, min, max) => [0, Math.max(max, ...limits.map((limit) => limit.value)) * 1.1 || 1] } },
    series: [{}, { label, stroke: '#1f5fa8', width: 2, points: { show: times.length < 3 } },
      ...limits.map((limit) => ({ label: limit.label, stroke: limit.color, dash: [6, 4] }))],
  }, [times, values, ...limits.map((limit) => times.map(() => limit.value))], document.getElementById(id))
  const index = report.services.indexOf(service)
  draw('rate-' + index, 'Burn rate per minute', 'burn rate', service.intervals.map((interval) => interval.rate),
    service.pairs.map((pair) => ({ label: pair.name + ' threshold', value: pair.threshold, color: pair.name === 'fast' ? '#b3261e' : '#b37b1e' })))
  draw('p99-' + index, 'p99 in ms', 'p99 ms', service.intervals.map((interval) => interval.p99Ms),
    [{ label: 'target', value: service.targetMs, color: '#b3261e' }])
}
`

const STYLE = `
body { font: 15px/1.5 system-ui, sans-serif; max-width: 60rem; margin: 2rem auto; padding: 0 1rem; }
pre { background: #f4f4f4; padding: 1rem; overflow-x: auto; }
`

/** Renders the page. It loads no external resources, so the file can be shared and archived. */
export function renderPage(report: burnSources.BurnReport): string {
  const plots = report.services.map(
    (service, index) =>
      `<h2>${escapeHtml(service.service)}</h2><div id="rate-${index}"></div><div id="p99-${index}"></div>`,
  )
  const title = escapeHtml(`Service-level burn of cell ${report.cell}`)
  return [
    '<!doctype html>',
    `<html lang="en"><head><meta charset="utf-8"><title>${title}</title>`,
    `<style>${readAsset('uplot/dist/uPlot.min.css')}${STYLE}</style></head><body>`,
    `<h1>${title}</h1><p>${new Date(report.nowMs).toISOString()}</p>`,
    `<pre>${escapeHtml(burnText.renderReport(report))}</pre>`,
    ...plots,
    `<script>${readAsset('uplot/dist/uPlot.iife.min.js')}</script>`,
    `<script>const report = ${embedJson(report)}\n${DRAW_SCRIPT}</script>`,
    '</body></html>\n',
  ].join('\n')
}

/** Serializes a value as JSON that cannot close the enclosing script element. */
export function embedJson(value: unknown): string {
  return JSON.stringify(value).replaceAll('<', '\\u003c')
}

function escapeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;')
}

function readAsset(path: string): string {
  return fs.readFileSync(require.resolve(path), 'utf8')
}
