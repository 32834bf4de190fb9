import * as vitest from 'vitest'
import * as standIns from '@ebonyweir/stand-ins'
import type * as protocol from '@ebonyweir/protocol'
import * as support from './support.js'

const { describe, expect, test } = vitest
const { waitFor } = standIns.waiting

const teamLine = (name: string): string =>
  `team.${name} = { cpuMillis = 1000, memoryMb = 1024 } # Operations, ${name}`

const post = (system: support.System, operator: string, expectedRevision: number, text: string) =>
  system.operator.requestLeader('POST', '/v1/rules', { expectedRevision, operator, text })

describe('operators', () => {
  // Guards against two accepted changes under one revision, a lost change, and a conflict with the wrong winner.
  test(
    'two operators race under one revision, with the leader killed: exactly one is accepted',
    async () => {
      const result = await support.runAndAudit({}, async (system) => {
        for (let round = 0; round < 12; round++) {
          const { revision, text: before } = await system.operator.rules()
          const operators = ['maelle', 'yann'] as const
          const texts = operators.map((o) => support.rulesWith(teamLine(`${o}-${round}`)))
          const racing = operators.map((o, i) => post(system, o, revision, texts[i] ?? ''))
          if (round === 6) (await system.leader()).process().signal('SIGKILL')
          const answers = await Promise.all(racing)
          expect(answers.map((a) => a.status).toSorted()).toEqual([200, 409])
          const winner = answers.findIndex((a) => a.status === 200)
          const accepted = answers[winner]?.body as protocol.operatorApi.ApplyRulesAnswer
          system.operator.recordAccepted(accepted, before, texts[winner] ?? '')
          const conflict = answers[1 - winner]?.body as protocol.operatorApi.RulesConflictAnswer
          expect(conflict.winner).toBe(operators[winner])
          expect((await system.operator.rules()).text).toBe(texts[winner])
        }
      })
      support.expectNoFindings(result, 'revisionAccepted')
    },
    support.TEST_TIMEOUT_MS,
  )

  // Guards against a resend that is applied again or refused because a snapshot dropped the earlier answer.
  test(
    'a change resent after 300 further changes and a restart gets its first answer',
    async () => {
      const result = await support.runAndAudit({}, async (system) => {
        const { revision } = await system.operator.rules()
        const text = support.rulesWith(teamLine('first'))
        const first = await post(system, 'maelle', revision, text)
        expect(first.status).toBe(200)
        for (let i = 1; i <= 300; i++) {
          const later = support.rulesWith(teamLine(`later-${i}`))
          expect((await post(system, 'yann', revision + i, later)).status).toBe(200)
        }
        const before = await system.operator.rules()
        await Promise.all(system.control.map((replica) => replica.process().kill()))
        await Promise.all(system.control.map((replica) => replica.restart()))
        expect(await post(system, 'maelle', revision, text)).toEqual(first)
        expect((await post(system, 'anna', revision, text)).status).toBe(409)
        const { revision: number, digest, operator, text: kept } = before
        const after = await system.operator.rules()
        expect(after).toMatchObject({ revision: number, digest, operator, text: kept })
      })
      support.expectNoFindings(result, 'processExited')
    },
    support.TEST_TIMEOUT_MS,
  )

  // Guards against a lost answer that is treated as a refusal, and a resend that is applied again.
  test(
    'a change resent after its answer was lost is answered and applied once',
    async () => {
      const result = await support.runAndAudit({}, async (system) => {
        const { revision } = await system.operator.rules()
        const text = support.rulesWith(teamLine('lost'))
        const leader = await system.leader()
        leader.httpRelay.setMode({ action: 'drop', direction: 'toClient' })
        const body = { expectedRevision: revision, operator: 'maelle', text }
        const lost = system.operator.request(leader.httpRelay.address, 'POST', '/v1/rules', body)
        await expect(lost).rejects.toThrow()
        system.reconnect()
        const resent = await post(system, 'maelle', revision, text)
        expect(resent).toMatchObject({ status: 200, body: { revision: revision + 1 } })
        await waitFor(
          'the change',
          async () => (await system.operator.revision()) === revision + 1 || undefined,
        )
      })
      support.expectNoFindings(result)
    },
    support.TEST_TIMEOUT_MS,
  )
})
