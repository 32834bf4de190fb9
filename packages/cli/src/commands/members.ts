/** `ebonyweir members …`: lists, forms and changes the replicas of a control group. */
import type * as protocol from '@ebonyweir/protocol'
import * as clipanion from 'clipanion'
import * as results from 'ts-results-es'

import * as baseCommand from '../baseCommand.js'
import * as failures from '../failure.js'
import * as output from '../output.js'
import type * as transport from '../transport.js'

const CATEGORY = 'Control group'

export class MembersCommand extends baseCommand.BaseCommand {
  static override paths = [['members'], ['members', 'list']]

  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'List the replicas of the control group',
    details: `
      Also shows whether the group is repaired: whether a quorum with every accepted change remains after
      the loss of any one other instance. With --wait the command returns when the group is repaired.

      Exit codes: 0 listed (with --wait: repaired), 1 not repaired in time, 4 unreachable.
    `,
    examples: [['Wait for the repair', 'ebonyweir members --wait --timeout-ms 60000']],
  })

  wait = clipanion.Option.Boolean('--wait', false, { description: 'Wait until it is repaired' })

  override async run(): Promise<baseCommand.CommandResult> {
    const read = () =>
      this.call<protocol.operatorApi.MembersAnswer>({ method: 'GET', path: '/v1/members' })
    if (!this.wait) return (await read()).map(createMembersOutput)
    let missing = ''
    return this.waitFor(
      async () => {
        const answer = await read()
        if (answer.isErr()) return answer
        missing = answer.value.missing
        return answer.value.repaired ? results.Ok(createMembersOutput(answer.value)) : undefined
      },
      () => missing,
    )
  }
}

export class MembersInitCommand extends baseCommand.BaseCommand {
  static override paths = [['members', 'init']]

  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'Form a new control group, once',
    details: `
      Reads the identity of the replica at each --control address and sends the same initial membership
      to all of them. Every replica must answer and have an empty log. If the command is interrupted, run
      it again with the same addresses.

      Exit codes: 0 formed, 1 a replica refused, 2 usage, 4 a replica did not answer (nothing changed),
      5 a replica's answer was lost.
    `,
    examples: [
      [
        'Three replicas',
        'ebonyweir members init --control 10.0.1.4:7001,10.0.2.4:7001,10.0.3.4:7001',
      ],
    ],
  })

  override async run(): Promise<baseCommand.CommandResult> {
    const configured = this.resolveConfiguration()
    if (configured.isErr()) return configured
    const addresses = configured.value.controlAddresses
    if (addresses.length === 0) {
      return results.Err(failures.createFailure('usage', 'list every replica with --control'))
    }
    const send = this.createSender()
    const identities = await readIdentities(addresses, send)
    if (identities.isErr()) return identities
    const cells = [...new Set(identities.value.map((identity) => identity.cell))]
    const ids = new Set(identities.value.map((identity) => identity.id))
    if (cells.length !== 1 || ids.size !== addresses.length) {
      const details = identities.value.map(
        ({ cell, id, address }) => `${address}: cell ${cell}, id ${id}`,
      )
      const message = 'the replicas must belong to one cell and have distinct ids'
      return results.Err(failures.createFailure('refused', message, details))
    }
    const members = identities.value.map(({ id, address, httpAddress, failureDomain }) => ({
      id,
      address,
      httpAddress,
      failureDomain,
    }))
    const body: protocol.operatorApi.BootstrapRequest = { cell: cells[0] ?? '', members }
    return bootstrap(addresses, body, send)
  }
}

abstract class ChangeMembersCommand extends baseCommand.BaseCommand {
  by = clipanion.Option.String('--by', { description: 'Who makes the change' })

  protected async changeMembers(
    body: protocol.operatorApi.ChangeMembersRequest,
  ): Promise<baseCommand.CommandResult> {
    const changed = await this.call<protocol.operatorApi.MembersAnswer>({
      method: 'POST',
      path: '/v1/members',
      body,
    })
    return changed.map(createMembersOutput)
  }
}

export class MembersAddCommand extends ChangeMembersCommand {
  static override paths = [['members', 'add']]

  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'Add a replica to the control group',
    details: `
      Reads the identity of the replica at ADDRESS (its HTTP address) and adds it: it catches up first and
      votes afterwards. To replace a lost replica, remove the old identity once \`members\` shows the new one
      as a voter, and then wait with \`members --wait\`.

      Exit codes: 0 accepted, 1 refused, 4 unreachable (not added), 5 unknown outcome.
    `,
    examples: [['Replace a lost disk', 'ebonyweir members add 10.0.2.4:7001 --by Operations']],
  })

  address = clipanion.Option.String({ name: 'ADDRESS' })

  override async run(): Promise<baseCommand.CommandResult> {
    const operator = this.resolveOperator(this.by)
    if (operator.isErr()) return operator
    const identities = await readIdentities([this.address], this.createSender())
    if (identities.isErr()) return identities
    const [identity] = identities.value
    if (identity === undefined) throw new Error('readIdentities returned no identity')
    const { id, address, httpAddress, failureDomain } = identity
    const add = { id, address, httpAddress, failureDomain }
    return this.changeMembers({ add, operator: operator.value })
  }
}

export class MembersRemoveCommand extends ChangeMembersCommand {
  static override paths = [['members', 'remove']]

  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'Remove a replica from the control group',
    details: `
      ID is the identity that \`members\` lists; a replica whose disk was lost keeps its old identity in the
      list until it is removed.

      Exit codes: 0 accepted, 1 refused, 4 unreachable (not removed), 5 unknown outcome.
    `,
    examples: [['Remove a lost replica', 'ebonyweir members remove 3f0c9b --by Operations']],
  })

  id = clipanion.Option.String({ name: 'ID' })

  override async run(): Promise<baseCommand.CommandResult> {
    const operator = this.resolveOperator(this.by)
    if (operator.isErr()) return operator
    return this.changeMembers({ remove: this.id, operator: operator.value })
  }
}

async function readIdentities(
  addresses: readonly string[],
  send: transport.SendRequest,
): Promise<results.Result<readonly protocol.operatorApi.IdentityAnswer[], failures.Failure>> {
  const attempts = await Promise.all(
    addresses.map((address) => send(address, { method: 'GET', path: '/v1/identity' })),
  )
  const identities: protocol.operatorApi.IdentityAnswer[] = []
  for (const [index, attempt] of attempts.entries()) {
    const address = addresses[index] ?? ''
    if (attempt.kind !== 'answer' || attempt.status !== 200) {
      const detail = attempt.kind === 'answer' ? `HTTP status ${attempt.status}` : attempt.detail
      const message = `${address} did not return its identity; nothing changed`
      return results.Err(failures.createFailure('unreachable', message, [detail]))
    }
    identities.push(attempt.body as protocol.operatorApi.IdentityAnswer)
  }
  return results.Ok(identities)
}

async function bootstrap(
  addresses: readonly string[],
  body: protocol.operatorApi.BootstrapRequest,
  send: transport.SendRequest,
): Promise<baseCommand.CommandResult> {
  const attempts = await Promise.all(
    addresses.map((address) =>
      send(address, { method: 'POST', path: '/v1/members/bootstrap', body }),
    ),
  )
  const lines = attempts.map(
    (attempt, index) => `${addresses[index] ?? ''}: ${describeAttempt(attempt)}`,
  )
  if (attempts.some((attempt) => attempt.kind === 'answer' && attempt.status >= 300)) {
    return results.Err(failures.createFailure('refused', 'a replica refused the membership', lines))
  }
  if (attempts.some((attempt) => attempt.kind !== 'answer')) {
    const message = 'a replica did not answer; run the same command again'
    return results.Err(failures.createFailure('unknown', message, lines))
  }
  const text = body.members.map(
    ({ id, httpAddress, failureDomain }) => `${id} at ${httpAddress} in ${failureDomain}\n`,
  )
  return results.Ok({
    json: body,
    text: `control group of cell ${body.cell} formed:\n${text.join('')}`,
  })
}

function describeAttempt(attempt: transport.Attempt): string {
  if (attempt.kind !== 'answer') return attempt.detail
  const body = attempt.body as Partial<protocol.operatorApi.ErrorAnswer>
  return attempt.status < 300 ? 'accepted' : (body.detail ?? `HTTP status ${attempt.status}`)
}

function createMembersOutput(
  answer: protocol.operatorApi.MembersAnswer,
): baseCommand.CommandOutput {
  const rows = answer.members.map((member) => [
    member.id,
    member.httpAddress,
    member.failureDomain,
    member.leader ? 'leader' : member.voter ? 'voter' : 'catching up',
    `${member.syncedIndex} of ${answer.commitIndex}`,
    member.lastAnswerAgeMs < 0 ? 'none' : `${Math.round(member.lastAnswerAgeMs)} ms ago`,
  ])
  const head = ['id', 'address', 'failure domain', 'state', 'synced', 'last answer']
  const repaired = answer.repaired ? 'repaired\n' : `not repaired: ${answer.missing}\n`
  return { json: answer, text: `${output.renderTable(head, rows)}${repaired}` }
}
