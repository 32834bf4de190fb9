/** `ebonyweir rules`, `diff` and `apply`: reads, compares and changes the rules in force. */
import type * as protocol from '@ebonyweir/protocol'
import * as rules from '@ebonyweir/rules'
import * as clipanion from 'clipanion'
import * as results from 'ts-results-es'

import * as baseCommand from '../baseCommand.js'
import * as failures from '../failure.js'

const CATEGORY = 'Rules and settings'

export class RulesCommand extends baseCommand.BaseCommand {
  static override paths = [['rules']]

  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'Print the rules in force',
    details: `
      Prints the text of the rules in force exactly as applied, and the revision on standard error.
      Edit it, compare it with \`diff\`, and apply it with the revision that \`diff\` prints.
    `,
    examples: [['Fetch the rules to edit them', 'ebonyweir rules > rules.toml']],
  })

  override async run(): Promise<baseCommand.CommandResult> {
    const current = await this.call<protocol.operatorApi.RulesAnswer>({
      method: 'GET',
      path: '/v1/rules',
    })
    return current.map((answer) => {
      if (!this.json) this.context.stderr.write(`${describeRevision(answer)}\n`)
      return { json: answer, text: answer.text }
    })
  }
}

export class DiffCommand extends baseCommand.BaseCommand {
  static override paths = [['diff']]

  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'Compare a rules file with the rules in force, or with another file',
    details: `
      With one file: shows what applying it would change, and the command that applies exactly this change.
      With two files: shows what the second changes in the first, without network access.

      Exit codes: 0 compared (with or without differences), 1 a file has a mistake, 4 unreachable.
    `,
    examples: [
      ['What would this file change?', 'ebonyweir diff rules.toml'],
      ['Compare two files', 'ebonyweir diff old.toml new.toml'],
    ],
  })

  file = clipanion.Option.String({ name: 'FILE' })

  other = clipanion.Option.String({ required: false, name: 'NEWER-FILE' })

  override async run(): Promise<baseCommand.CommandResult> {
    const newer = this.parseFile(this.other ?? this.file)
    if (newer.isErr()) return newer
    if (this.other !== undefined) {
      const older = this.parseFile(this.file)
      return older.map((before) => createDiffOutput(before, newer.value, ''))
    }
    const current = await this.call<protocol.operatorApi.RulesAnswer>({
      method: 'GET',
      path: '/v1/rules',
    })
    if (current.isErr()) return current
    const before = parseText(current.value.text, `revision ${current.value.revision}`)
    const command = `ebonyweir apply ${this.file} --expect ${current.value.revision} --by NAME`
    const applyHint = `in force: ${describeRevision(current.value)}\nto apply: ${command}\n`
    return before.map((inForce) => createDiffOutput(inForce, newer.value, applyHint))
  }

  private parseFile(fileName: string): results.Result<rules.RuleSet, failures.Failure> {
    return this.readFile(fileName).andThen((text) => parseText(text, fileName))
  }
}

export class ApplyCommand extends baseCommand.BaseCommand {
  static override paths = [['apply']]

  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'Put a rules file in force',
    details: `
      Replaces all rules with those of FILE if the revision in force is still REVISION, the one you edited.
      If another change was accepted meanwhile, nothing changes and the exit code is 3: run \`rules\` and
      \`diff\` again. After a lost answer, run the same command again: it gets the answer of the first.

      Exit codes: 0 accepted, 1 refused or a mistake in the file, 3 conflict, 4 unreachable (not applied),
      5 unknown outcome.
    `,
    examples: [['Apply', 'ebonyweir apply rules.toml --expect 41 --by "Yann Le Goff"']],
  })

  file = clipanion.Option.String({ name: 'FILE' })

  expect = clipanion.Option.String('--expect', {
    required: true,
    description: 'Revision that the file was made from; `diff` prints it; 0 for the first rules',
  })

  by = clipanion.Option.String('--by', { description: 'Who makes the change' })

  override async run(): Promise<baseCommand.CommandResult> {
    const expectedRevision = Number(this.expect)
    if (this.expect.trim() === '' || !Number.isInteger(expectedRevision) || expectedRevision < 0) {
      const message = `--expect "${this.expect}" is not a revision number`
      return results.Err(failures.createFailure('usage', message))
    }
    const operator = this.resolveOperator(this.by)
    if (operator.isErr()) return operator
    const text = this.readFile(this.file)
    if (text.isErr()) return text
    const checked = parseText(text.value, this.file)
    if (checked.isErr()) return checked
    const body: protocol.operatorApi.ApplyRulesRequest = {
      expectedRevision,
      operator: operator.value,
      text: text.value,
    }
    const applied = await this.call<protocol.operatorApi.ApplyRulesAnswer>({
      method: 'POST',
      path: '/v1/rules',
      body,
    })
    return applied
      .map((answer) => ({ json: answer, text: `accepted as revision ${answer.revision}\n` }))
      .mapErr(addRefusalDetails)
  }
}

/** Adds the mistakes that the server found, or the operator whose change was accepted first. */
export function addRefusalDetails(failure: failures.Failure): failures.Failure {
  if (failure.kind === 'conflict') {
    const { winner, revision } = failure.body as protocol.operatorApi.RulesConflictAnswer
    const cause = winner === '' ? '' : `; the change by ${winner} was accepted first`
    const details = [`revision ${revision} is in force${cause}`, 'your change was not applied']
    return { ...failure, details }
  }
  const { mistakes } = (failure.body ?? {}) as Partial<protocol.operatorApi.RulesRefusedAnswer>
  if (mistakes === undefined) return failure
  return {
    ...failure,
    details: mistakes.map(({ line, field, message }) => `line ${line}: ${field}: ${message}`),
  }
}

/** Parses a rules text; a failure lists its mistakes. */
export function parseText(
  text: string,
  fileName: string,
): results.Result<rules.RuleSet, failures.Failure> {
  return rules
    .parseRules(text, fileName)
    .mapErr(({ mistakes }) =>
      failures.createFailure(
        'refused',
        `${fileName} has mistakes`,
        mistakes.map(rules.formatRuleMistake),
      ),
    )
}

function describeRevision(answer: protocol.operatorApi.RulesAnswer): string {
  return answer.revision === 0
    ? 'revision 0 (no rules yet)'
    : `revision ${answer.revision}, applied by ${answer.operator}`
}

const CHANGE_MARKERS = { added: '+', removed: '-', changed: '~', moved: '=' } as const

function createDiffOutput(
  before: rules.RuleSet,
  after: rules.RuleSet,
  applyHint: string,
): baseCommand.CommandOutput {
  const changes = rules.diffRules(before, after).filter((change) => change.change !== 'moved')
  const lines = changes.flatMap((change) => [
    `${CHANGE_MARKERS[change.change]} ${change.key}`,
    ...(change.before ? [`    - ${describeRule(change.before)}`] : []),
    ...(change.after ? [`    + ${describeRule(change.after)}`] : []),
  ])
  const summary = changes.length === 0 ? ['no rule differs'] : lines
  return { json: { changes }, text: `${summary.join('\n')}\n${applyHint}` }
}

function describeRule(rule: rules.Rule): string {
  return `${rule.body} # ${rule.requestedBy} (line ${rule.line})`
}
