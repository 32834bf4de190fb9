/** Generates the reference of all settings and rule fields from their schemas. */
import * as rules from '@ebonyweir/rules'
import * as settings from '@ebonyweir/settings'
import type * as fields from '@ebonyweir/settings/fields'

import * as configuration from './configuration.js'

interface Section {
  readonly title: string
  readonly text: string
  readonly fields: fields.Fields
}

const ruleDescriptions: Readonly<Record<rules.RuleKind, string>> = {
  service: 'A latency-critical service and its endpoints.',
  team: 'The quota of a team.',
  placement: 'Where work may run.',
  failureDomain: 'Whether operators have taken a failure domain out. `drain` and `return` edit it.',
  guard: 'How batch tasks beside a service are held back; NAME is the service.',
  weighting: 'What matters more when measures conflict.',
}

const sections: readonly Section[] = [
  {
    title: 'Settings of a control replica (`role = "control"`)',
    text: 'Read by `ebonyweird --settings FILE`.',
    fields: settings.controlFields,
  },
  {
    title: 'Settings of an entry (`role = "entry"`)',
    text: 'Read by `ebonyweird --settings FILE`.',
    fields: settings.entryFields,
  },
  {
    title: 'Settings of an agent (`role = "agent"`)',
    text: 'Read by `ebonyweird --settings FILE`.',
    fields: settings.agentFields,
  },
  {
    title: 'Optional parts of job scheduling',
    text: 'Read by a control replica that serves graph jobs, in its own settings file. All parts are off by default.',
    fields: settings.schedulingFields,
  },
  {
    title: 'Configuration of the command-line tool (`ebonyweir.toml`)',
    text: 'Optional; `--control`, `--entry`, `--by` and the environment variables precede it.',
    fields: configuration.cliFields,
  },
  ...rules.ruleKinds.map((kind) => ({
    title: `Rule \`${kind}.${kind === 'weighting' ? 'default' : 'NAME'}\``,
    text: ruleDescriptions[kind],
    fields: rules.kindFields[kind],
  })),
]

/** Renders the reference as Markdown tables. */
export function renderReference(): string {
  return sections.map(renderSection).join('\n')
}

function renderSection(section: Section): string {
  const rows = Object.entries(section.fields).map(renderField)
  const head = '| field | meaning | unit | default | accepted |\n| --- | --- | --- | --- | --- |\n'
  return `### ${section.title}\n\n${section.text}\n\n${head}${rows.join('')}`
}

function renderField([name, field]: readonly [string, fields.Field<unknown>]): string {
  const fallback = field.fallback === undefined ? 'required' : `\`${formatValue(field.fallback)}\``
  const cells = [`\`${name}\``, field.doc, field.unit, fallback, field.form]
  return `| ${cells.map((cell) => cell.replaceAll('|', '\\|')).join(' | ')} |\n`
}

function formatValue(value: unknown): string {
  return JSON.stringify(value)
}
