/** Generates the tables of docs/configuration.md from the schemas; requires `npm run build`. */
import * as fs from 'node:fs'
import * as cli from '@ebonyweir/cli'
import * as prettier from 'prettier'

const FILE = new URL('../docs/configuration.md', import.meta.url)
const MARKER = '<!-- reference: made by `npm run docs:configuration` -->\n'

const text = fs.readFileSync(FILE, 'utf8')
const head = text.slice(0, text.indexOf(MARKER) + MARKER.length)
const options = await prettier.resolveConfig(FILE)
const page = await prettier.format(`${head}\n${cli.reference.renderReference()}`, {
  ...options,
  parser: 'markdown',
})
fs.writeFileSync(FILE, page)
