/** `ebonyweir check`: validates settings and rules files without network access. */
import * as rules from '@ebonyweir/rules'
import * as settings from '@ebonyweir/settings'
import * as clipanion from 'clipanion'
import * as results from 'ts-results-es'

import * as baseCommand from '../baseCommand.js'
import * as failures from '../failure.js'

/** Result of checking one file. */
export interface CheckedFile {
  readonly fileName: string
  readonly kind: 'rules' | 'settings'
  /** Mistakes as "FILE:LINE: FIELD: MESSAGE"; empty for a valid file. */
  readonly mistakes: readonly string[]
  /** Short description of a valid file. */
  readonly summary: string
}

const ROLE_LINE = /^\s*role\s*=/mu

/** Checks one file; a file with a `role` field is a settings file, any other a rules file. */
export function checkFile(fileName: string, text: string): CheckedFile {
  return ROLE_LINE.test(text) ? checkSettings(fileName, text) : checkRules(fileName, text)
}

function checkSettings(fileName: string, text: string): CheckedFile {
  const resolved = settings.resolveSettings(text, fileName)
  const kind = 'settings'
  return resolved.isOk()
    ? { fileName, kind, mistakes: [], summary: `${resolved.value.role} ${resolved.value.name}` }
    : {
        fileName,
        kind,
        mistakes: resolved.error.mistakes.map(settings.formatSettingsMistake),
        summary: '',
      }
}

function checkRules(fileName: string, text: string): CheckedFile {
  const parsed = rules.parseRules(text, fileName)
  const kind = 'rules'
  return parsed.isOk()
    ? { fileName, kind, mistakes: [], summary: describeCount(parsed.value.rules.length, 'rule') }
    : {
        fileName,
        kind,
        mistakes: parsed.error.mistakes.map(rules.formatRuleMistake),
        summary: '',
      }
}

function describeCount(count: number, noun: string): string {
  return `${count} ${noun}${count === 1 ? '' : 's'}`
}

export class CheckCommand extends baseCommand.BaseCommand {
  static override paths = [['check']]

  static override usage = clipanion.Command.Usage({
    category: 'Rules and settings',
    description: 'Check settings and rules files',
    details: `
      Checks each file with the same code as the daemon. A file with a \`role\` field is a settings
      file, any other a rules file. Prints one line per mistake: file, line, field, accepted form.

      Exit codes: 0 all files are valid, 1 a file has a mistake, 2 a file cannot be read.
    `,
    examples: [['Check all files of a deployment', 'ebonyweir check rules.toml settings/*.toml']],
  })

  files = clipanion.Option.Rest({ required: 1, name: 'FILE' })

  override run(): Promise<baseCommand.CommandResult> {
    return Promise.resolve(this.checkFiles())
  }

  private checkFiles(): baseCommand.CommandResult {
    const checked: CheckedFile[] = []
    for (const fileName of this.files) {
      const text = this.readFile(fileName)
      if (text.isErr()) return text
      checked.push(checkFile(fileName, text.value))
    }
    const mistakes = checked.flatMap((file) => file.mistakes)
    if (mistakes.length > 0) {
      const message = describeCount(mistakes.length, 'mistake')
      return results.Err(failures.createFailure('refused', message, mistakes))
    }
    const lines = checked.map((file) => `${file.fileName}: valid ${file.kind} (${file.summary})\n`)
    return results.Ok({ json: { files: checked }, text: lines.join('') })
  }
}
