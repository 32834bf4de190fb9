import * as consensus from '@ebonyweir/consensus'
import * as storages from '@ebonyweir/storage'
import * as results from 'ts-results-es'
import * as clocks from './clock.js'
import * as engines from './engine.js'
import * as proposalQueues from './proposals.js'
import * as status from './status.js'
import * as transfers from './transfer.js'
import type * as types from './types.js'

/** Interval at which timeouts are checked. */
const tickMs = 25

const defaultMaxPayloadBytes = 1024 * 1024

/** Creates a replica from its data folder; it participates in its group after `start()`. */
export const createReplica = async <Outcome>(
  options: types.ReplicaOptions<Outcome>,
): Promise<results.Result<types.Replica<Outcome>, types.OpenError>> => {
  const { cell, dataFolder: folder, fileSystem } = options
  const opened = await storages.openStorage({ cell, folder, fileSystem })
  if (opened.isErr()) return results.Err(opened.error)
  return results.Ok(buildReplica(options, opened.value))
}

const initialState = <Outcome>(
  options: types.ReplicaOptions<Outcome>,
  { storage, recovered }: storages.OpenedStorage,
  nowMs: number,
  random: () => number,
): consensus.State => {
  const config = consensus.resolveConfig({
    ...options.consensus,
    cell: options.cell,
    id: storage.id,
  })
  const disk = { ...recovered, snapshot: recovered.snapshot?.meta }
  return consensus.createState(config, disk, nowMs, random(), options.processStartMs)
}

const buildReplica = <Outcome>(
  options: types.ReplicaOptions<Outcome>,
  opened: storages.OpenedStorage,
): types.Replica<Outcome> => {
  const clock = options.clock ?? new clocks.ProcessClock()
  const random = options.random ?? Math.random
  const { storage, recovered } = opened
  if (recovered.snapshot !== undefined) options.stateMachine.restore(recovered.snapshot.data)
  const watchers = new Set<() => void>()
  let lastLeadershipKey = ''

  const engine = engines.createEngine<Outcome>({
    replica: options,
    clock,
    storage,
    initial: initialState(options, opened, clock.nowMs(), random),
    onChange: () => {
      notifyWatchers()
    },
  })

  const leadership = () => status.leadership(engine, clock.nowMs())

  const notifyWatchers = (): void => {
    const now = leadership()
    const leadershipKey = `${now.role} ${now.term} ${now.leader?.id ?? ''} ${now.leaseValid}`
    if (leadershipKey === lastLeadershipKey) return
    lastLeadershipKey = leadershipKey
    for (const watcher of [...watchers]) watcher()
    options.onLeadershipChange?.(now)
  }

  const proposals = proposalQueues.createProposals({
    engine,
    maxPayloadBytes: options.maxPayloadBytes ?? defaultMaxPayloadBytes,
    leader: () => leadership().leader,
  })

  let cancelTick: types.CancelTimer = () => undefined
  const tick = (): void => {
    engine.run({ kind: 'tick', jitter: random() })
    if (!engine.halted) cancelTick = clock.setTimer(tickMs, tick)
  }

  const transferLeadership = (target?: string): Promise<boolean> =>
    transfers.transferLeadership({ engine, clock, watchers, leadership }, target)

  const changeMembers: types.Replica<Outcome>['changeMembers'] = (change) =>
    new Promise((resolve) => {
      if (engine.halted) {
        resolve(results.Err({ kind: 'stopped' }))
        return
      }
      engine.run({ kind: 'changeMembers', change }, (outputs) => {
        for (const output of outputs) {
          if (output.kind === 'accepted') {
            engine.memberChanges.add(output.firstIndex, output.term, resolve)
          }
          if (output.kind === 'refused') resolve(results.Err(toMembersError(output, leadership())))
        }
      })
    })

  const bootstrap: types.Replica<Outcome>['bootstrap'] = async (members) => {
    const problem = bootstrapProblem(members, storage.id)
    if (problem !== undefined) return results.Err(problem)
    const bootstrapError = await new Promise<types.BootstrapError | undefined>((resolve) => {
      if (engine.halted) {
        resolve({ kind: 'stopped', detail: 'the replica has stopped' })
        return
      }
      engine.run({ kind: 'bootstrap', membership: { members } }, (outputs) => {
        const refused = outputs.find((output) => output.kind === 'refused')
        resolve(refused && { kind: 'already-formed', detail: refused.detail })
      })
    })
    if (bootstrapError !== undefined) return results.Err(bootstrapError)
    await engine.idle()
    return results.Ok(undefined)
  }

  return {
    id: storage.id,
    start: tick,
    propose: (payload) => proposals.propose(payload),
    deliver: (envelope) => {
      engine.run({ kind: 'message', envelope })
    },
    leadership,
    bootstrap,
    changeMembers,
    membersStatus: () => status.membersStatus(engine.state, clock.nowMs()),
    transferLeadership,
    stop: async () => {
      if (!engine.halted && engine.state.role === 'leader') await transferLeadership()
      cancelTick()
      engine.halt()
      await engine.idle()
      await storage.close()
    },
  }
}

const bootstrapProblem = (
  members: readonly types.Member[],
  id: string,
): types.BootstrapError | undefined => {
  if (!members.some((member) => member.id === id)) {
    return { kind: 'not-in-members', detail: `the members do not include this replica, ${id}` }
  }
  const ids = new Set(members.map((member) => member.id))
  if (ids.size !== members.length) {
    return { kind: 'invalid-members', detail: 'a member is listed twice' }
  }
  if (!members.every((member) => member.voter)) {
    return { kind: 'invalid-members', detail: 'every initial member must be a voter' }
  }
  return undefined
}

const toMembersError = (
  refused: Extract<consensus.Output, { kind: 'refused' }>,
  leadership: types.Leadership,
): types.MembersError => {
  switch (refused.reason) {
    case 'change-in-progress':
    case 'invalid-change':
      return { kind: refused.reason, detail: refused.detail }
    default:
      return { kind: 'not-leader', leader: leadership.leader }
  }
}
