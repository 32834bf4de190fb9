/** `ebonyweir drain` and `return`: takes a failure domain out of service and brings it back. */
import type * as protocol from '@ebonyweir/protocol'
import * as rules from '@ebonyweir/rules'
import * as clipanion from 'clipanion'
import * as results from 'ts-results-es'

import * as baseCommand from '../baseCommand.js'
import * as failures from '../failure.js'
import * as rulesCommands from './rules.js'

const CATEGORY = 'Failure domains'
const MAX_CONFLICTS = 20

type State = rules.FailureDomainRule['state']

abstract class FailureDomainCommand extends baseCommand.BaseCommand {
  failureDomain = clipanion.Option.String({ name: 'FAILURE-DOMAIN' })

  by = clipanion.Option.String('--by', {
    description:
      'Who requests it; becomes the comment of the rule, for example "Operations, ticket 4411"',
  })

  /** Applies the edit to the newest revision; retries if another operator's change conflicts. */
  protected async setState(state: State): Promise<baseCommand.CommandResult> {
    const requestedBy = this.resolveOperator(this.by)
    if (requestedBy.isErr()) return requestedBy
    const edit = { failureDomain: this.failureDomain, state, requestedBy: requestedBy.value }
    for (let conflicts = 0; conflicts <= MAX_CONFLICTS; conflicts++) {
      const applied = await this.applyOnce(edit)
      if (applied.isOk() || applied.error.kind !== 'conflict') return applied
    }
    const message = `more than ${MAX_CONFLICTS} conflicting changes by other operators; nothing changed`
    return results.Err(failures.createFailure('conflict', message))
  }

  private async applyOnce(edit: rules.FailureDomainEdit): Promise<baseCommand.CommandResult> {
    const current = await this.call<protocol.operatorApi.RulesAnswer>({
      method: 'GET',
      path: '/v1/rules',
    })
    if (current.isErr()) return current
    const { revision, text } = current.value
    const edited = rules.editFailureDomain(text, `revision ${revision}`, edit)
    if (edited.isErr()) {
      const mistakes = edited.error.mistakes.map(rules.formatRuleMistake)
      return results.Err(failures.createFailure('refused', 'the rules cannot be edited', mistakes))
    }
    if (!edited.value.changed) return results.Ok(createEditOutput(edit, revision, edited.value))
    const body: protocol.operatorApi.ApplyRulesRequest = {
      expectedRevision: revision,
      operator: edit.requestedBy,
      text: edited.value.text,
    }
    const applied = await this.call<protocol.operatorApi.ApplyRulesAnswer>({
      method: 'POST',
      path: '/v1/rules',
      body,
    })
    return applied
      .map((answer) => createEditOutput(edit, answer.revision, edited.value))
      .mapErr(rulesCommands.addRefusalDetails)
  }

  /** Reads the status of the failure domain; undefined if the cell does not list it. */
  protected async readStatus(): Promise<
    results.Result<protocol.operatorApi.FailureDomainStatus | undefined, failures.Failure>
  > {
    const status = await this.call<protocol.operatorApi.StatusAnswer>({
      method: 'GET',
      path: '/v1/status',
    })
    return status.map((answer) =>
      answer.failureDomains.find((domain) => domain.failureDomain === this.failureDomain),
    )
  }
}

export class DrainCommand extends FailureDomainCommand {
  static override paths = [['drain']]

  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'Take a failure domain out of service',
    details: `
      Sets \`state = "out"\` in the rule of the failure domain, adding the rule if there is none, and leaves
      every other rule as it is. If another operator changes the rules meanwhile, the edit is retried on
      their revision. Within 5 seconds no task starts there and no request is sent there; running tasks
      are checkpointed and moved. With --wait the command returns when no task runs there.

      Exit codes: 0 done, 1 refused or not empty in time, 3 conflict, 4 unreachable, 5 unknown outcome.
    `,
    examples: [['Take Brest out', 'ebonyweir drain brest --by "Operations, ticket 4411" --wait']],
  })

  wait = clipanion.Option.Boolean('--wait', false, {
    description: 'Wait until no task runs there, for up to --timeout-ms',
  })

  override async run(): Promise<baseCommand.CommandResult> {
    const applied = await this.setState('out')
    if (applied.isErr() || !this.wait) return applied
    let remaining = 'no status yet'
    return this.waitFor(
      async () => {
        const status = await this.readStatus()
        if (status.isErr()) return status
        const tasks = status.value?.runningTasks ?? 0
        remaining = `${tasks} tasks run in ${this.failureDomain}`
        return tasks === 0
          ? results.Ok({ ...applied.value, text: `${applied.value.text}no task runs there\n` })
          : undefined
      },
      () => remaining,
    )
  }
}

export class ReturnCommand extends FailureDomainCommand {
  static override paths = [['return']]

  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'Bring a failure domain back into service',
    details: `
      Sets \`state = "in"\` in the rule of the failure domain and leaves every other rule as it is. Tasks that
      run elsewhere are not moved back; new and waiting work is placed in the failure domain gradually.

      Exit codes: 0 done, 1 refused, 3 conflict, 4 unreachable, 5 unknown outcome.
    `,
    examples: [['Bring Brest back', 'ebonyweir return brest --by "Operations, ticket 4411"']],
  })

  override run(): Promise<baseCommand.CommandResult> {
    return this.setState('in')
  }
}

function createEditOutput(
  edit: rules.FailureDomainEdit,
  revision: number,
  edited: rules.EditedRules,
): baseCommand.CommandOutput {
  const { failureDomain, state } = edit
  const previousRule =
    edited.before === undefined ? '' : `; before: ${rules.describeRule(edited.before)}`
  const text = edited.changed
    ? `${failureDomain} is ${state} from revision ${revision}${previousRule}\n`
    : `${failureDomain} was ${state} already in revision ${revision}${previousRule}; nothing changed\n`
  return { json: { failureDomain, state, revision, changed: edited.changed }, text }
}
