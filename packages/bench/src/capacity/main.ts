/** `npm run bench:capacity`: growth of CPU time, memory and bytes with the size of the system. */
import * as report from './report.js'
import * as scenarios from './scenarios.js'

const print = (text: string) => process.stdout.write(`${text}\n`)

const measureEach = async (
  sizes: readonly number[],
  measure: (size: number) => Promise<report.Row>,
): Promise<readonly report.Row[]> => {
  const rows: report.Row[] = []
  for (const size of sizes) {
    const row = await measure(size)
    // Printed at once, so that the failure of a larger size does not lose this row.
    print(JSON.stringify(row))
    rows.push(row)
  }
  return rows
}

const wanted = new Set(process.argv.slice(2))
const isWanted = (name: string): boolean => wanted.size === 0 || wanted.has(name)

if (isWanted('requests')) {
  const rows = await measureEach([0, 50, 100, 200, 400], scenarios.measureRequests)
  print(report.renderTable('Agent and entry by requests a second', 'requestsPerSecond', rows))
}
if (isWanted('configuration')) {
  const rows = await measureEach([50, 100, 200, 400], scenarios.measureConfiguration)
  print(report.renderTable('Configuration change by syncing clients', 'clients', rows))
}
if (isWanted('workers')) {
  const rows = await measureEach([10, 100, 300, 600], scenarios.measureWorkers)
  print(report.renderTable('Control leader by workers', 'workers', rows))
}
